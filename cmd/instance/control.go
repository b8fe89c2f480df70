package instance

import (
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/configuration"
	"gorseline/core/membership"
	"gorseline/core/policy"
	"gorseline/core/timeline"
	"gorseline/io/caller"
	"gorseline/io/certificate"
	"gorseline/io/peer"
)

// control holds the components that share the membership and the configuration with other
// instances.
type control struct {
	store      *configuration.Store
	applier    *configuration.Applier
	member     *peer.Member
	peerClient *peer.Client
}

type controlInputs struct {
	fx.In

	Lifecycle     fx.Lifecycle
	Settings      Settings
	Listeners     *listeners
	Platform      *platform
	Clock         core.ClockProvider
	Random        *random.Source
	NewAttemptID  attemptIDGenerator
	TimelineClock *timeline.Clock
	Log           log.Interface
	Certificates  *certificate.Source
}

func newControl(in controlInputs) (*control, error) {
	c := &control{applier: configuration.NewApplier()}
	c.store = configuration.NewStore(configuration.Options{
		Table: in.Platform.table.Shared, ValidatePolicy: policy.Validate, NewAttemptID: in.NewAttemptID, InForce: c.applier,
	})
	peerClient, err := peer.NewClient(peer.ClientOptions{
		TLS:     in.Certificates.ClientConfig(),
		Options: []connect.ClientOption{connect.WithInterceptors(peer.NewClockInterceptor(in.TimelineClock))},
	})
	if err != nil {
		return nil, err
	}
	c.member = peer.NewMember(peer.MemberOptions{
		Self: membership.Record{
			ID:         core.InstanceID(in.Settings.Instance),
			Address:    in.Listeners.peersAddress,
			DataCentre: core.DataCentre(in.Settings.DataCentre),
			Callers:    in.Listeners.callersAddress,
			// A restarted instance needs a higher incarnation than before, so the wall
			// clock must not go back across a restart.
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Transport: peerClient, Store: c.store, Lister: in.Platform.instances,
		Clock: in.Clock, Applier: c.applier, Seed: in.Random.Uint64(), Log: in.Log,
	})
	c.peerClient = peerClient
	lifecycle.Register(in.Lifecycle, c.member)
	return c, nil
}

// liveInstances returns the alive and the suspect instances, including this one.
func (c *control) liveInstances() []core.InstanceID {
	records := c.member.Members()
	ids := make([]core.InstanceID, 0, len(records))
	for _, record := range records {
		if record.Status == membership.StatusAlive || record.Status == membership.StatusSuspect {
			ids = append(ids, record.ID)
		}
	}
	return ids
}

var _ caller.AddressProvider = (*control)(nil)

// Addresses returns the addresses of instances for a caller in a data centre, and how long
// the caller may cache them.
func (c *control) Addresses(from core.DataCentre) (addresses []string, keep time.Duration) {
	answer := c.member.Addresses(from)
	return answer.Addresses, answer.TTL
}
