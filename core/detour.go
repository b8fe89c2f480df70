package core

import "net/netip"

// LeavingRecorder records that the process of a target has stated in an answer that it leaves.
type LeavingRecorder interface {
	// RecordLeaving tells the other instances as well. It doesn't block.
	RecordLeaving(target TargetID, started int64)
}

// DetourPeer is another instance that may reach targets that this one doesn't.
type DetourPeer struct {
	// Address is where it takes requests of other instances.
	Address    string
	DataCentre DataCentre
	// IsCut is set if the instance has announced that it reaches no target of the service either.
	IsCut bool
}

// DetourPeerProvider knows the other instances.
type DetourPeerProvider interface {
	// DetourPeers returns the live instances that don't leave, without this one.
	DetourPeers(Service) []DetourPeer
	// IsPeer reports whether an instance has this IP address.
	IsPeer(netip.Addr) bool
	// AnnouncePaths tells the other instances which services this one reaches. It doesn't block.
	AnnouncePaths()
}
