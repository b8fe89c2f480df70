package instance

import (
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/io/instancelist"
	"gorseline/io/object"
	"gorseline/io/table"
)

// platform holds the clients of the platform's services.
type platform struct {
	table     *table.ClientSet
	objects   core.ObjectStore
	instances core.InstanceLister
}

func newPlatform(lc fx.Lifecycle, s Settings, clock core.ClockProvider, newAttemptID attemptIDGenerator, i *instruments) *platform {
	p := &platform{
		table: table.NewClientSet(table.ClientSetOptions{
			Client:       newCountingTable(table.NewClient(table.ClientOptions{URL: s.TableURL}), i),
			Clock:        clock,
			NewAttemptID: newAttemptID,
			Instances:    1,
			Shards:       s.Shards,
		}),
		objects:   object.NewClient(s.ObjectsURL, nil),
		instances: instancelist.NewClient(instancelist.ClientOptions{URL: s.InstancesURL}),
	}
	lifecycle.Register(lc, newLoop(p.table.Claims.Run))
	return p
}
