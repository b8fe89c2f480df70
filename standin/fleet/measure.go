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

// The design size in instances, the rates of changes and restarts at that size, per day,
// and the size of a change.
const (
	designInstances = 680
	changesPerDay   = 14000
	restartsPerDay  = 89 + 1300 // failures, and restarts or replacements
	changeSize      = 1000      // bytes
	changeEnvelope  = 200       // bytes of a change besides its note
	day             = 24 * time.Hour
)

// inForceLimit is the time within which a change must be in force everywhere.
const inForceLimit = 9 * time.Second

// MeasureOptions configures a measurement.
type MeasureOptions struct {
	Instances   int
	DataCentres int
	Seed        uint64
	// Warmup and Window are the virtual time before and during the measurement of rates.
	Warmup, Window time.Duration
	// Targets and Organisations are the size of the configuration.
	Targets, Organisations int
	// Overhead is added to the encoded bodies that the fleet counts.
	Overhead Overhead
}

// Measurement is the cost of the control plane at one fleet size. Rates are per second of
// virtual time.
type Measurement struct {
	Instances   int
	DataCentres int
	// TableReads and TableWrites are in rows per second, for the whole fleet.
	TableReads  float64
	TableWrites float64
	// Bytes is the average traffic of an instance, sent and received, in bytes per
	// second. It includes HTTP headers, reads of the head row, and JoinBytes at the
	// design rate of restarts. BusiestBytes is the maximum over the instances, without
	// restarts.
	Bytes        float64
	BusiestBytes float64
	// PacketBytes is the average traffic of IP and TCP headers of an instance, which
	// Bytes doesn't include, and BusiestPacketBytes the maximum over the instances, in
	// bytes per second.
	PacketBytes        float64
	BusiestPacketBytes float64
	// Calls is the average number of calls to peers that an instance makes per second.
	Calls float64
	// Core is the processor time of an instance as a fraction of one core. HTTPCore is
	// the part of it that HTTP calls cause.
	Core     float64
	HTTPCore float64
	// Memory is the live heap and the stacks of an instance in bytes. ConnectionMemory
	// is the part of it for connections to the other members of the data centre.
	Memory           float64
	ConnectionMemory float64
	// InForce and InForceLost are the longest times until a change was in force
	// everywhere, in normal operation and right after the loss of a data centre, in
	// seconds. Late counts the changes that took longer than 9 s.
	InForce     float64
	InForceLost float64
	Late        int
	Changes     int
	// JoinBytes is the extra traffic, in bytes sent by all instances, while a
	// restarted process fetches the configuration and the members. JoinTime is the
	// time until this process is ready, in seconds.
	JoinBytes float64
	JoinTime  float64
	// ColdStart is the time from the start of the whole fleet until all instances
	// know each other and have the configuration, in seconds.
	ColdStart float64
	// Reverts counts the times that an instance replaced its revision in force by an
	// older one.
	Reverts int
}

// Measure runs a fleet at the design rate of changes, restarts one instance and kills a
// data centre. It returns an error if the fleet doesn't converge during the warmup or a
// change is rejected.
func Measure(o MeasureOptions) (Measurement, error) {
	base := memoryInUse()
	f, err := New(Options{Instances: o.Instances, DataCentres: o.DataCentres, Seed: o.Seed, Configuration: SampleConfiguration(o.Targets, o.Organisations)})
	if err != nil {
		return Measurement{}, err
	}
	shared := memoryInUse() - base
	m := measurer{MeasureOptions: o, fleet: f, revision: 1}
	m.Measurement = Measurement{Instances: o.Instances, DataCentres: o.DataCentres}
	for f.now < core.Instant(o.Warmup) && !m.hasConverged() {
		f.Run(time.Second)
	}
	if !m.hasConverged() {
		return Measurement{}, fmt.Errorf("%d instances have not converged %s after the start", o.Instances, o.Warmup)
	}
	m.ColdStart = time.Duration(f.now).Seconds()
	f.Run(core.Instant(o.Warmup).Sub(f.now))
	if err := m.measureChanges(); err != nil {
		return Measurement{}, err
	}
	m.ConnectionMemory = o.Overhead.ConnectionBytes * float64(o.Instances/o.DataCentres-1)
	m.Memory = (memoryInUse()-base-shared)/float64(o.Instances) + m.ConnectionMemory
	m.measureJoin()
	err = m.measureLostDataCentre()
	m.Reverts = f.Reverts()
	return m.Measurement, err
}

// measurer holds the state of a running measurement.
type measurer struct {
	MeasureOptions
	Measurement
	fleet    *Fleet
	revision core.Revision
}

// hasConverged reports whether all instances know each other and have applied the first
// revision.
func (m *measurer) hasConverged() bool {
	for _, i := range m.fleet.instances {
		if len(i.Node.Members().Members()) != len(m.fleet.instances) {
			return false
		}
	}
	return m.fleet.InForce(1, nil)
}

// measureChanges changes the configuration at the design rate and measures the rates
// over the window.
func (m *measurer) measureChanges() error {
	f, interval := m.fleet, day/changesPerDay
	changes := int(m.Window / interval)
	start := m.snapshot()
	for n := range changes {
		took, err := m.applyChange(f.instances[f.rng.IntN(len(f.instances))])
		if err != nil {
			return err
		}
		m.InForce = max(m.InForce, took.Seconds())
		f.Run(start.at.Add(interval * time.Duration(n+1)).Sub(f.now))
	}
	m.computeRates(start)
	return nil
}

// measureJoin restarts one instance and measures the extra traffic compared with an
// equally long period before the restart.
func (m *measurer) measureJoin() {
	const period = 20 * time.Second
	f := m.fleet
	before := f.traffic.Bytes
	f.Run(period)
	baseline := f.traffic.Bytes - before
	joining := f.instances[len(f.instances)-1]
	joining.Restart()
	before = f.traffic.Bytes
	took, _ := f.RunUntil(period, func() bool { return joining.Ready().Ready })
	f.Run(period - took)
	m.JoinTime = took.Seconds()
	m.JoinBytes = float64(f.traffic.Bytes - before - baseline)
	// Each byte is sent by one instance and received by another.
	m.Bytes += 2 * m.JoinBytes * restartsPerDay / day.Seconds() / designInstances
}

// applyChange proposes a change of about changeSize bytes through an instance and runs
// the fleet until the change is in force everywhere or inForceLimit passes. It returns the
// elapsed virtual time.
func (m *measurer) applyChange(proposer *Instance) (time.Duration, error) {
	text, err := json.Marshal(strings.Repeat("x", changeSize-changeEnvelope))
	if err != nil {
		return 0, err
	}
	parameters := fmt.Appendf(nil, `{"Note":%s,"Change":%d}`, text, m.Changes)
	p := proposer.Propose(m.revision, configuration.PutPolicy{Policy: core.PolicyDocument{
		Name: fmt.Sprintf("Trial-%02d", m.Changes%20), Type: "Full", Parameters: parameters,
	}})
	if p.Kind != configuration.ProposalAccepted {
		return 0, fmt.Errorf("change %d was not accepted: %s", m.Changes, p.Kind)
	}
	m.revision = p.Revision
	m.Changes++
	took, ok := m.fleet.RunUntilInForce(inForceLimit, p.Revision, nil)
	if !ok {
		m.Late++
	}
	return took, nil
}

// measureLostDataCentre kills all instances of a data centre and measures changes right
// after.
func (m *measurer) measureLostDataCentre() error {
	f := m.fleet
	for _, i := range f.instances {
		if i.DataCentre == f.instances[1].DataCentre {
			i.Kill()
		}
	}
	for range 5 {
		took, err := m.applyChange(f.instances[0])
		if err != nil {
			return err
		}
		m.InForceLost = max(m.InForceLost, took.Seconds())
		f.Run(time.Second)
	}
	return nil
}

// snapshot holds the counters at the start of the window.
type snapshot struct {
	at        core.Instant
	processor time.Duration
	table     table.Counts
	instances []Traffic
}

func (m *measurer) snapshot() snapshot {
	s := snapshot{at: m.fleet.now, table: m.fleet.table.Counts()}
	for _, i := range m.fleet.instances {
		s.instances = append(s.instances, i.traffic)
	}
	s.processor = processorTime()
	return s
}

// computeRates sets the rates over the time since the start snapshot.
func (m *measurer) computeRates(start snapshot) {
	processor := processorTime() - start.processor
	seconds, n := m.fleet.now.Sub(start.at).Seconds(), float64(len(m.fleet.instances))
	counts := m.fleet.table.Counts()
	m.TableReads = float64(counts.RowsRead-start.table.RowsRead) / seconds
	m.TableWrites = float64(counts.RowsWritten-start.table.RowsWritten) / seconds
	var requests, storeCalls float64
	for k, i := range m.fleet.instances {
		before, after := start.instances[k], i.traffic
		sent := float64(after.Requests - before.Requests)
		// handled counts the calls that the instance made and those that it answered.
		handled := sent + float64(after.Replies-before.Replies)
		store := float64(after.StoreCalls - before.StoreCalls)
		bytes := float64(after.Bytes-before.Bytes) + handled*m.Overhead.CallBytes + store*m.Overhead.HeadBytes
		m.BusiestBytes = max(m.BusiestBytes, bytes/seconds)
		m.Bytes += bytes / seconds / n
		packets := (handled + store) * m.Overhead.PacketBytes / seconds
		m.PacketBytes += packets / n
		m.BusiestPacketBytes = max(m.BusiestPacketBytes, packets)
		requests += sent
		storeCalls += store
	}
	m.Calls = requests / seconds / n
	m.HTTPCore = (requests*m.Overhead.CallTime.Seconds() + storeCalls*m.Overhead.HeadTime.Seconds()) / seconds / n
	m.Core = processor.Seconds()/seconds/n + m.HTTPCore
}
