package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/standin/table"
)

// Rates at the design size, per day, and the size of one change in bytes.
const (
	designInstances = 680
	changesPerDay   = 14000
	restartsPerDay  = 89 + 1300 // failures, and restarts or replacements
	changeSize      = 1000
	day             = 24 * time.Hour
)

// forceLimit is the time in which a change must be in force everywhere.
const forceLimit = 9 * time.Second

// MeasureOptions are the settings of one measurement.
type MeasureOptions struct {
	Instances   int
	DataCentres int
	Seed        uint64
	// Warmup and Window are virtual times before and during the measurement.
	Warmup, Window time.Duration
	// Targets and Organisations are the size of the configuration.
	Targets, Organisations int
	Overhead               Overhead
}

// Measurement are what one measurement found. Rates are per second of virtual time.
type Measurement struct {
	Instances   int
	DataCentres int
	// TableReads and TableWrites are rows per second of the whole fleet.
	TableReads  float64
	TableWrites float64
	// Bytes are sent and received per instance and second, with HTTP headers, head
	// reads and JoinBytes at the design rate of restarts. BusiestBytes is the
	// instance with most, without joins. PacketBytes are the IP and TCP headers on
	// top, on average, and BusiestPacketBytes those of the instance with most.
	Bytes        float64
	BusiestBytes float64
	PacketBytes  float64

	BusiestPacketBytes float64
	// Calls are calls that an instance makes per second.
	Calls float64
	// Core is the part of a core per instance, of which HTTPCore is for the calls.
	Core     float64
	HTTPCore float64
	// Memory is the live heap per instance in bytes, of which ConnectionMemory is
	// for connections to the other members of the data centre.
	Memory           float64
	ConnectionMemory float64
	// InForce and InForceLost are the longest times until a change was in force
	// everywhere, in normal operation and just after a data centre was lost, in
	// seconds. A change that was not in force in 9 s counts as Late.
	InForce     float64
	InForceLost float64
	Late        int
	Changes     int
	// JoinBytes are what all instances send while a new process fetches the
	// configuration and the members; JoinTime is until it is ready, in seconds.
	JoinBytes float64
	JoinTime  float64
	// ColdStart is the time after a start of the whole fleet until all instances
	// know each other and have the configuration, in seconds.
	ColdStart float64
	Reverts   int
}

// Measure runs a fleet at the design rates of changes and restarts.
func Measure(o MeasureOptions) (Measurement, error) {
	base := memoryInUse()
	f, err := New(Options{Instances: o.Instances, DataCentres: o.DataCentres, Seed: o.Seed, Configuration: SampleConfiguration(o.Targets, o.Organisations)})
	if err != nil {
		return Measurement{}, err
	}
	shared := memoryInUse() - base
	w := window{MeasureOptions: o, fleet: f, revision: 1}
	w.Measurement = Measurement{Instances: o.Instances, DataCentres: o.DataCentres}
	for f.now < core.Instant(o.Warmup) && !w.isSettled() {
		f.Run(time.Second)
	}
	if !w.isSettled() {
		return Measurement{}, fmt.Errorf("%d instances: not settled %s after the start", o.Instances, o.Warmup)
	}
	w.ColdStart = time.Duration(f.now).Seconds()
	f.Run(core.Instant(o.Warmup).Sub(f.now))
	if err := w.run(); err != nil {
		return Measurement{}, err
	}
	w.ConnectionMemory = o.Overhead.ConnectionBytes * float64(o.Instances/o.DataCentres-1)
	w.Memory = (memoryInUse()-base-shared)/float64(o.Instances) + w.ConnectionMemory
	w.join()
	err = w.lose()
	w.Reverts = f.Reverts()
	return w.Measurement, err
}

// window is a measurement under way.
type window struct {
	MeasureOptions
	Measurement
	fleet    *Fleet
	revision core.Revision
}

// isSettled reports whether all instances know each other and the configuration.
func (w *window) isSettled() bool {
	for _, i := range w.fleet.instances {
		if len(i.Node.Members().Members()) != len(w.fleet.instances) {
			return false
		}
	}
	return w.fleet.InForce(1, nil)
}

// run changes the configuration at the design rate.
func (w *window) run() error {
	f, every := w.fleet, day/changesPerDay
	changes := int(w.Window / every)
	start := w.mark()
	for n := range changes {
		took, err := w.change(f.instances[f.rng.IntN(len(f.instances))])
		if err != nil {
			return err
		}
		w.InForce = max(w.InForce, took.Seconds())
		f.Run(start.at.Add(every * time.Duration(n+1)).Sub(f.now))
	}
	w.rates(start)
	return nil
}

// join restarts one instance. Its bytes are those above the normal traffic.
func (w *window) join() {
	const limit = 20 * time.Second
	f := w.fleet
	before := f.traffic.Bytes
	f.Run(limit)
	normal := f.traffic.Bytes - before
	joining := f.instances[len(f.instances)-1]
	joining.Restart()
	before = f.traffic.Bytes
	took, _ := f.RunUntil(limit, func() bool { return joining.Ready().Ready })
	f.Run(limit - took)
	w.JoinTime = took.Seconds()
	w.JoinBytes = float64(f.traffic.Bytes - before - normal)
	// Each byte is sent by one instance and received by another.
	w.Bytes += 2 * w.JoinBytes * restartsPerDay / day.Seconds() / designInstances
}

// change makes one change of about 1 KB and waits until it is in force.
func (w *window) change(by *Instance) (time.Duration, error) {
	text, err := json.Marshal(strings.Repeat("x", changeSize-200))
	if err != nil {
		return 0, err
	}
	parameters := fmt.Appendf(nil, `{"Note":%s,"Change":%d}`, text, w.Changes)
	p := by.Propose(w.revision, configuration.PutPolicy{Policy: core.PolicyDocument{
		Name: fmt.Sprintf("Trial-%02d", w.Changes%20), Type: "Full", Parameters: parameters,
	}})
	if p.Kind != configuration.ProposalAccepted {
		return 0, fmt.Errorf("change %d: %s", w.Changes, p.Kind)
	}
	w.revision = p.Revision
	w.Changes++
	took, inTime := w.fleet.RunUntilInForce(forceLimit, p.Revision, nil)
	if !inTime {
		w.Late++
	}
	return took, nil
}

// lose ends all instances of a data centre and makes changes at once.
func (w *window) lose() error {
	f := w.fleet
	for _, i := range f.instances {
		if i.DataCentre == f.instances[1].DataCentre {
			i.Kill()
		}
	}
	for range 5 {
		took, err := w.change(f.instances[0])
		if err != nil {
			return err
		}
		w.InForceLost = max(w.InForceLost, took.Seconds())
		f.Run(time.Second)
	}
	return nil
}

// mark holds the counts at the start of a window.
type mark struct {
	at        core.Instant
	processor time.Duration
	table     table.Counts
	instances []Traffic
}

func (w *window) mark() mark {
	m := mark{at: w.fleet.now, table: w.fleet.table.Counts()}
	for _, i := range w.fleet.instances {
		m.instances = append(m.instances, i.traffic)
	}
	m.processor = processorTime()
	return m
}

// rates computes the figures of the time since a mark.
func (w *window) rates(start mark) {
	processor := processorTime() - start.processor
	seconds, n := w.fleet.now.Sub(start.at).Seconds(), float64(len(w.fleet.instances))
	counts := w.fleet.table.Counts()
	w.TableReads = float64(counts.RowsRead-start.table.RowsRead) / seconds
	w.TableWrites = float64(counts.RowsWritten-start.table.RowsWritten) / seconds
	var requests, storeCalls float64
	for k, i := range w.fleet.instances {
		before, now := start.instances[k], i.traffic
		made := float64(now.Requests - before.Requests)
		ends := made + float64(now.Replies-before.Replies)
		store := float64(now.StoreCalls - before.StoreCalls)
		bytes := float64(now.Bytes-before.Bytes) + ends*w.Overhead.CallBytes + store*w.Overhead.HeadBytes
		w.BusiestBytes = max(w.BusiestBytes, bytes/seconds)
		w.Bytes += bytes / seconds / n
		packets := (ends + store) * w.Overhead.PacketBytes / seconds
		w.PacketBytes += packets / n
		w.BusiestPacketBytes = max(w.BusiestPacketBytes, packets)
		requests += made
		storeCalls += store
	}
	w.Calls = requests / seconds / n
	w.HTTPCore = (requests*w.Overhead.CallTime.Seconds() + storeCalls*w.Overhead.HeadTime.Seconds()) / seconds / n
	w.Core = processor.Seconds()/seconds/n + w.HTTPCore
}
