package digest

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
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

// Snapshots is what an instance gives to and takes from its peers.
type Snapshots interface {
	// Configuration returns the configuration in force, or nil.
	Configuration() *core.Forwarding
	// ApplyConfiguration brings a configuration into force unless it has a newer one.
	ApplyConfiguration(*core.Forwarding)
	// Targets returns the list of targets.
	Targets() *roster.View
	// ApplyTargets replaces the list of targets unless it is newer.
	ApplyTargets(TargetList)
}

// TargetList is the list of targets as of a version of the registry.
type TargetList struct {
	Version uint64
	Targets []core.Registration
}

// Paths of the snapshots.
const (
	pathConfiguration = "/configuration"
	pathTargets       = "/targets"
	// maximumSnapshot bounds a snapshot in bytes: 4,500 targets or some thousand routes.
	maximumSnapshot = 8 << 20
	// snapshotTimeout bounds the taking of a snapshot.
	snapshotTimeout = time.Second
)

// NewSnapshotHandler serves snapshots to peers.
func NewSnapshotHandler(s Snapshots) http.Handler {
	mux := http.NewServeMux()
	var configuration, targets encoded
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
		targets.write(w, view.Version, func() any { return listOf(view) })
	})
	return mux
}

// listOf returns the list of a view.
func listOf(view *roster.View) TargetList {
	list := TargetList{Version: view.Version, Targets: make([]core.Registration, 0, view.Len())}
	for e := range view.All {
		list.Targets = append(list.Targets, e.Registration)
	}
	return list
}

// encoded is the latest snapshot of one resource as it goes to peers, compressed: a large
// configuration goes to a dozen peers at once, over links of 10 Mbit/s.
type encoded struct {
	mu      sync.Mutex
	version uint64
	data    []byte
}

func (e *encoded) write(w http.ResponseWriter, version uint64, value func() any) {
	data, err := e.at(version, value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor+gzip")
	_, _ = w.Write(data) // a peer that left asks another one
}

// at returns the snapshot of a version.
func (e *encoded) at(version uint64, value func() any) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.data != nil && e.version == version {
		return e.data, nil
	}
	var buffer bytes.Buffer
	zip := gzip.NewWriter(&buffer)
	if err := cbor.NewEncoder(zip).Encode(value()); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := zip.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	e.version, e.data = version, buffer.Bytes()
	return e.data, nil
}

// snapshotDecoding bounds what a snapshot may hold.
var snapshotDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// snapshotClient takes snapshots from peers.
var snapshotClient = &http.Client{Transport: &http.Transport{
	DialContext: target.NewDialer().DialContext, DisableKeepAlives: true, DisableCompression: true,
}}

func readSnapshot[T any](ctx context.Context, peer, path string) (value T, err error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+path, nil)
	if err != nil {
		return value, errors.Wrap(err, "form request")
	}
	resp, err := snapshotClient.Do(req)
	if err != nil {
		return value, errors.Wrap(err, "ask peer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return value, errors.Errorf("peer answered status %d", resp.StatusCode)
	}
	zip, err := gzip.NewReader(resp.Body)
	if err != nil {
		return value, errors.Wrap(err, "read snapshot")
	}
	data, err := io.ReadAll(io.LimitReader(zip, maximumSnapshot))
	if err != nil {
		return value, errors.Wrap(err, "read snapshot")
	}
	return value, errors.Wrap(snapshotDecoding.Unmarshal(data, &value), "decode snapshot")
}

// loopPulls takes from peers what the platform does not tell.
func (n *Node) loopPulls(ctx context.Context) {
	pause.Every(ctx, tickInterval, func() {
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
		if c, err = readSnapshot[core.Forwarding](ctx, p.Peer, pathConfiguration); err == nil {
			n.opts.Snapshots.ApplyConfiguration(&c)
		}
	case catchup.Targets:
		var list TargetList
		if list, err = readSnapshot[TargetList](ctx, p.Peer, pathTargets); err == nil {
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
