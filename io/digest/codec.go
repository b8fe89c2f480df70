package digest

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/membership"
	"gorseline/core/prompt"
	"gorseline/core/quarantine"
	"gorseline/core/targetlimit"
)

// packetKind is the kind of a datagram.
type packetKind uint8

const (
	packetLoad packetKind = iota + 1
	packetCall
	packetReply
	packetVersions
	packetStreamStarts
	packetStreamQuery
	packetStreamAnswer
	packetLosses
	packetSurvivalQuestion
	packetSurvivalAnswer
	packetFindings
	packetLimits
	packetAcquittal
	packetAlive
	packetLeaving
	packetUsage
)

// maxPacketSize is the largest size of a datagram in bytes. It fits one Ethernet frame.
const maxPacketSize = 1400

// packet is one datagram. Fields with zero values are not encoded.
type packet struct {
	Kind packetKind `cbor:"1,keyasint"`
	// Sender identifies the sending process among load senders. Each start of a process
	// uses a new one.
	Sender uint32 `cbor:"2,keyasint,omitempty"`
	// Events are load events in the order in which they happened.
	Events []event `cbor:"3,keyasint,omitempty"`
	// Serial matches a reply to its call.
	Serial  uint32              `cbor:"4,keyasint,omitempty"`
	Call    membership.CallKind `cbor:"5,keyasint,omitempty"`
	Message *membership.Message `cbor:"6,keyasint,omitempty"`
	// Configuration and Targets are the versions of the configuration and of the list of
	// targets that the sender has. Address is where it receives datagrams and serves
	// snapshots of these versions.
	Configuration uint64 `cbor:"7,keyasint,omitempty"`
	Targets       uint64 `cbor:"8,keyasint,omitempty"`
	Address       string `cbor:"9,keyasint,omitempty"`
	// HasRecentReads is set if the sender reads the platform and its latest reads succeeded
	// recently.
	HasRecentReads bool `cbor:"10,keyasint,omitempty"`
	// IsFullState is set on the first of the packets that list all outstanding work of the
	// sender. The receiver first removes all work that it has recorded for the sender.
	IsFullState bool `cbor:"11,keyasint,omitempty"`
	// StreamStarts holds records of streams, see encodeStarts.
	StreamStarts []byte        `cbor:"12,keyasint,omitempty"`
	StreamQuery  *streamQuery  `cbor:"13,keyasint,omitempty"`
	StreamAnswer *streamAnswer `cbor:"14,keyasint,omitempty"`
	// Losses holds lost requests. Trait is the trait that a question is about, and Survived the
	// number of requests with it that targets have survived at the sender.
	Losses   []quarantine.Loss    `cbor:"15,keyasint,omitempty"`
	Trait    uint64               `cbor:"16,keyasint,omitempty"`
	Survived uint64               `cbor:"17,keyasint,omitempty"`
	Findings []quarantine.Finding `cbor:"18,keyasint,omitempty"`
	// Limits holds the limits that targets state.
	Limits []targetlimit.Fact `cbor:"19,keyasint,omitempty"`
	// Process is a hash of a target's process that was reported lost and has answered since.
	Process uint64 `cbor:"20,keyasint,omitempty"`
	// Unreached holds hashes of the services that the sender doesn't reach.
	Unreached []uint64 `cbor:"21,keyasint,omitempty"`
	// Leaving holds targets that have stated that they leave.
	Leaving []leavingTarget `cbor:"22,keyasint,omitempty"`
	// Summaries holds the loads of targets, see encodeSummaries. SharesSummaries is set on the
	// announcements of instances that take them.
	Summaries       []byte `cbor:"23,keyasint,omitempty"`
	SharesSummaries bool   `cbor:"24,keyasint,omitempty"`
	// ReadAgeMs is the age of the sender's last read of the targets in milliseconds, rounded up, if
	// HasRecentReads. Earlier builds don't state it.
	ReadAgeMs uint32 `cbor:"25,keyasint,omitempty"`
	// ConfigurationAgeMs is how long ago the sender's configuration was known to be the newest, in
	// milliseconds and rounded up; 0 means that it isn't known. Earlier builds don't state it.
	ConfigurationAgeMs uint32 `cbor:"26,keyasint,omitempty"`
	// TrueTimeMs is the true time as the sender knows it, in milliseconds since 1970, in announcements.
	// 0 means that it isn't known. Earlier builds don't state it.
	TrueTimeMs uint64 `cbor:"27,keyasint,omitempty"`
	// Usage holds counts of requests, see core/usage.
	Usage []byte `cbor:"28,keyasint,omitempty"`
}

// operation is the kind of change of an item.
type operation uint8

const (
	opSent operation = iota + 1
	opComputed
	opFinished
)

// event is one change of the outstanding work of a target.
type event struct {
	Operation operation     `cbor:"1,keyasint"`
	Target    core.TargetID `cbor:"2,keyasint"`
	Serial    uint32        `cbor:"3,keyasint"`
	Kind      load.WorkKind `cbor:"4,keyasint,omitempty"`
	// ComputeUs is the expected time to compute the prompt, in microseconds.
	ComputeUs uint32 `cbor:"5,keyasint,omitempty"`
	// Keys and Tokens are the links of the prompt chain.
	Keys   []uint64 `cbor:"6,keyasint,omitempty"`
	Tokens []uint32 `cbor:"7,keyasint,omitempty"`
	// cell is the cell in which the target's load is shared. It is not encoded.
	cell core.DataCentre
}

// maxChainLinks is the number of leading links of a chain that are sent. Prompts share
// their first links.
const maxChainLinks = 4

func newSentEvent(item load.Item) event {
	e := event{
		Operation: opSent, Target: item.Target, Serial: item.Key.Serial, Kind: item.Kind,
		ComputeUs: uint32(min(item.ComputeTime.Microseconds(), 1<<31)), cell: item.Cell,
	}
	for _, link := range item.Chain[:min(len(item.Chain), maxChainLinks)] {
		e.Keys = append(e.Keys, link.Key)
		e.Tokens = append(e.Tokens, uint32(link.Tokens))
	}
	return e
}

// ref identifies the item that the event is about.
func (e *event) ref(sender uint32) load.Ref {
	return load.Ref{Key: load.Key{Sender: sender, Serial: e.Serial}, Target: e.Target}
}

// item returns the item of an opSent event.
func (e *event) item(sender uint32) load.Item {
	item := load.Item{
		Ref: e.ref(sender), Kind: e.Kind,
		ComputeTime: time.Duration(e.ComputeUs) * time.Microsecond,
	}
	for i, key := range e.Keys[:min(len(e.Keys), len(e.Tokens))] {
		item.Chain = append(item.Chain, prompt.Link{Key: key, Tokens: int(e.Tokens[i])})
	}
	return item
}

// decMode limits the arrays and maps in a datagram.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 10, MaxMapPairs: 1 << 10}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

func decodePacket(data []byte) (*packet, error) {
	p := &packet{}
	if err := decMode.Unmarshal(data, p); err != nil {
		return nil, errors.Wrap(err, "decode datagram")
	}
	switch p.Kind {
	case packetLoad, packetVersions, packetLosses, packetSurvivalQuestion, packetSurvivalAnswer, packetFindings, packetLimits, packetAcquittal, packetAlive, packetLeaving, packetUsage:
		return p, nil
	case packetCall, packetReply:
		if p.Message == nil {
			return nil, errors.New("decode datagram: message is missing")
		}
		return p, nil
	case packetStreamStarts, packetStreamQuery, packetStreamAnswer:
		return p, p.checkStreams()
	}
	return nil, errors.Errorf("decode datagram: unknown kind %d", p.Kind)
}
