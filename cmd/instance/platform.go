package instance

import (
	"go.uber.org/fx"

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/io/instancelist"
	"gorseline/io/object"
	"gorseline/io/table"
)

// platform holds the clients of the platform's services.
type platform struct {
	table     *table.Service
	objects   core.ObjectStore
	instances core.InstanceLister
}

func newPlatform(lifecycle fx.Lifecycle, s Settings, clock core.ClockProvider, newAttemptID attemptIDGenerator, i *instruments) *platform {
	p := &platform{
		table: table.NewService(table.ServiceOptions{
			Client:    newCountingTable(table.NewClient(table.ClientOptions{URL: s.TableURL}), i),
			Clock:     clock,
			Attempts:  newAttemptID,
			Instances: 1,
			Shards:    s.Shards,
		}),
		objects:   object.NewClient(s.ObjectsURL, nil),
		instances: instancelist.NewClient(instancelist.ClientOptions{URL: s.InstancesURL}),
	}
	part.Register(lifecycle, newLoop(p.table.Claims.Run))
	return p
}
