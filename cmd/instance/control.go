package instance

import (
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/part"
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

// control holds the parts that agree with other instances.
type control struct {
	store   *configuration.Store
	applier *configuration.Applier
	member  *peer.Member
	peers   *peer.Client
}

type controlInputs struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  Settings
	Listeners *listeners
	Platform  *platform
	Clock     core.ClockProvider
	Random    *random.Source
	Attempts  attemptIDGenerator
	Stamps    *timeline.Clock
	Log       log.Interface
	Secure    *certificate.Source
}

func newControl(in controlInputs) (*control, error) {
	c := &control{applier: configuration.NewApplier()}
	c.store = configuration.NewStore(configuration.Options{
		Table: in.Platform.table.Shared, ValidatePolicy: policy.Validate, NewAttemptID: in.Attempts, InForce: c.applier,
	})
	transport, err := peer.NewClient(peer.ClientOptions{
		TLS:     in.Secure.ClientConfig(),
		Options: []connect.ClientOption{connect.WithInterceptors(peer.NewClockInterceptor(in.Stamps))},
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
			// A restarted instance returns with a higher incarnation than before. The
			// wall clock only has to grow over a restart of this one process.
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Transport: transport, Store: c.store, Lister: in.Platform.instances,
		Clock: in.Clock, Applier: c.applier, Seed: in.Random.Uint64(), Log: in.Log,
	})
	c.peers = transport
	part.Register(in.Lifecycle, c.member)
	return c, nil
}

// members returns the live instances, this one included.
func (c *control) members() []core.InstanceID {
	records := c.member.Members()
	ids := make([]core.InstanceID, 0, len(records))
	for _, r := range records {
		if r.Status == membership.StatusAlive || r.Status == membership.StatusSuspect {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

var _ caller.AddressProvider = (*control)(nil)

// Addresses returns addresses for callers.
func (c *control) Addresses(from core.DataCentre) (addresses []string, keep time.Duration) {
	answer := c.member.Addresses(from)
	return answer.Addresses, answer.TTL
}
