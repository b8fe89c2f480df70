package digest

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/common/pause"
	"gorseline/core/roster"
	"gorseline/io/target"
)

// Snapshots provides the snapshots that peers fetch and applies those fetched from peers.
type Snapshots interface {
	// Configuration returns the configuration in force, or nil.
	Configuration() *core.Forwarding
	// ApplyConfiguration puts a configuration in force unless a newer one is in force. It returns an
	// error if the configuration can't be used.
	ApplyConfiguration(*core.Forwarding) error
	// Targets returns the current view of the targets.
	Targets() *roster.View
	// ApplyTargets replaces the list of targets unless the current one is newer.
	ApplyTargets(TargetList)
	// ApplyLeaving marks a process of a target as leaving. It returns false if that changes nothing.
	ApplyLeaving(id core.TargetID, started int64) bool
}

// TargetList holds the targets of one version of the registry.
type TargetList struct {
	Version uint64
	Targets []core.Registration
	// Lapsed names the entries that the registry no longer lists and that the sender retains.
	// Sent as targets, they would stay in use at peers that already have the sender's version.
	Lapsed []core.TargetID
}

// Paths of the snapshots.
const (
	pathConfiguration = "/configuration"
	pathTargets       = "/targets"
)

const (
	// maxSnapshotSize limits an uncompressed snapshot in bytes. It fits 4,500 targets or
	// several thousand routes.
	maxSnapshotSize = 8 << 20
	// snapshotTimeout limits the fetch of one snapshot.
	snapshotTimeout = time.Second
)

// NewSnapshotHandler returns a handler that serves snapshots to peers. It responds with
// status 503 while there is no configuration.
func NewSnapshotHandler(s Snapshots) http.Handler {
	mux := http.NewServeMux()
	var configuration, targets snapshotCache
	mux.HandleFunc("GET "+pathConfiguration, func(w http.ResponseWriter, _ *http.Request) {
		c := s.Configuration()
		if c == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		configuration.write(w, uint64(c.Version), func() any { return c })
	})
	mux.HandleFunc("GET "+pathTargets, func(w http.ResponseWriter, _ *http.Request) {
		view := s.Targets()
		targets.write(w, view.Version, func() any { return newTargetList(view) })
	})
	return mux
}

// newTargetList returns the targets of a view.
func newTargetList(view *roster.View) TargetList {
	list := TargetList{Version: view.Version, Targets: make([]core.Registration, 0, view.Len())}
	for e := range view.All {
		if e.Lapsed {
			list.Lapsed = append(list.Lapsed, e.ID)
			continue
		}
		list.Targets = append(list.Targets, e.Registration)
	}
	return list
}

// snapshotCache holds the latest snapshot of one resource, encoded and compressed. A large
// configuration is sent to a dozen peers at once over links of 10 Mbit/s.
type snapshotCache struct {
	mu      sync.Mutex
	version uint64
	data    []byte
}

func (c *snapshotCache) write(w http.ResponseWriter, version uint64, value func() any) {
	data, err := c.encoded(version, value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor+gzip")
	_, _ = w.Write(data) // a peer that gets no snapshot asks another one
}

// encoded returns the encoded snapshot of a version. It encodes value if the version is not
// cached.
func (c *snapshotCache) encoded(version uint64, value func() any) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.data != nil && c.version == version {
		return c.data, nil
	}
	var buffer bytes.Buffer
	compressed := gzip.NewWriter(&buffer)
	if err := cbor.NewEncoder(compressed).Encode(value()); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := compressed.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	c.version, c.data = version, buffer.Bytes()
	return c.data, nil
}

// snapshotDecMode limits the arrays and maps in a snapshot.
var snapshotDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// snapshotClient fetches snapshots from peers.
var snapshotClient = &http.Client{Transport: target.NewTransport(target.TransportOptions{
	Dial: target.NewDialer().DialContext, DialTimeout: -1, SingleUse: true, BufferSize: target.LargeBuffer,
})}

func fetchSnapshot[T any](ctx context.Context, peer, path string) (value T, err error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+path, nil)
	if err != nil {
		return value, errors.Wrap(err, "create request")
	}
	resp, err := snapshotClient.Do(req)
	if err != nil {
		return value, errors.Wrap(err, "request snapshot")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return value, errors.Errorf("peer responded with status %d", resp.StatusCode)
	}
	compressed, err := gzip.NewReader(resp.Body)
	if err != nil {
		return value, errors.Wrap(err, "read snapshot")
	}
	data, err := target.ReadBody(compressed, maxSnapshotSize)
	if err != nil {
		return value, errors.Wrap(err, "read snapshot")
	}
	return value, errors.Wrap(snapshotDecMode.Unmarshal(data, &value), "decode snapshot")
}

// loopPulls fetches newer versions from peers while the platform does not provide them.
func (n *Node) loopPulls(ctx context.Context) {
	pause.Every(ctx, tickInterval, func() {
		if n.opts.Currency != nil {
			n.opts.Currency.Tick()
		}
		for _, pull := range n.opts.Catchup.DuePulls(n.opts.Clock.Now()) {
			n.pull(ctx, pull)
		}
	})
}

func (n *Node) pull(ctx context.Context, p catchup.Pull) {
	var err error
	switch p.Resource {
	case catchup.Configuration:
		var c core.Forwarding
		if c, err = fetchSnapshot[core.Forwarding](ctx, p.Peer, pathConfiguration); err == nil {
			err = n.opts.Snapshots.ApplyConfiguration(&c)
		}
	case catchup.Targets:
		var list TargetList
		if list, err = fetchSnapshot[TargetList](ctx, p.Peer, pathTargets); err == nil {
			n.opts.Snapshots.ApplyTargets(list)
		}
	}
	entry := n.opts.Log.WithFields(log.Fields{
		"Subject": p.Resource, "Peer": p.Peer, "PeerVersion": p.PeerVersion, "OwnVersion": p.OwnVersion,
	})
	if err != nil {
		n.opts.Catchup.PullFailed(p)
		entry.WithError(err).Warn("PeerSnapshotFailed")
		return
	}
	entry.Info("PeerSnapshotTaken")
}
