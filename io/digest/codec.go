package digest

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/membership"
	"gorseline/core/prompt"
)

// packetKind names what a datagram carries.
type packetKind uint8

const (
	packetLoad packetKind = iota + 1
	packetCall
	packetReply
	packetVersions
)

// maximumPacket bounds a datagram in bytes, so that it fits one frame.
const maximumPacket = 1400

// packet is one datagram. Unused fields are not encoded.
type packet struct {
	Kind packetKind `cbor:"1,keyasint"`
	// Sender is the load sender of the process. A process that starts takes a new one.
	Sender uint32 `cbor:"2,keyasint,omitempty"`
	// Events are load events in the order in which they happened.
	Events []event `cbor:"3,keyasint,omitempty"`
	// Serial matches a reply to its call.
	Serial  uint32              `cbor:"4,keyasint,omitempty"`
	Call    membership.CallKind `cbor:"5,keyasint,omitempty"`
	Message *membership.Message `cbor:"6,keyasint,omitempty"`
	// Configuration and Targets are the versions that the sender has, and Address is where
	// it gives them.
	Configuration uint64 `cbor:"7,keyasint,omitempty"`
	Targets       uint64 `cbor:"8,keyasint,omitempty"`
	Address       string `cbor:"9,keyasint,omitempty"`
	// Reads says that the sender reads the platform and has done so just now.
	Reads bool `cbor:"10,keyasint,omitempty"`
	// IsAfresh says that Events begin the list of all outstanding work of the sender:
	// what was known of it before is to be forgotten.
	IsAfresh bool `cbor:"11,keyasint,omitempty"`
}

// operation says what happened to an item.
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
	// ComputeUs is the expected time for the prompt, in microseconds.
	ComputeUs uint32 `cbor:"5,keyasint,omitempty"`
	// Keys and Tokens are the chain of the prompt.
	Keys   []uint64 `cbor:"6,keyasint,omitempty"`
	Tokens []uint32 `cbor:"7,keyasint,omitempty"`
	// cell is where the target's load is shared; it is not sent.
	cell core.DataCentre
}

// maximumChain bounds the links of a chain that are sent. The first parts are the ones
// that prompts share.
const maximumChain = 4

func sentEvent(item load.Item) event {
	e := event{
		Operation: opSent, Target: item.Target, Serial: item.Key.Serial, Kind: item.Kind,
		ComputeUs: uint32(min(item.Compute.Microseconds(), 1<<31)), cell: item.Cell,
	}
	for _, link := range item.Chain[:min(len(item.Chain), maximumChain)] {
		e.Keys = append(e.Keys, link.Key)
		e.Tokens = append(e.Tokens, uint32(link.Tokens))
	}
	return e
}

// ref returns what the event is about.
func (e *event) ref(sender uint32) load.Ref {
	return load.Ref{Key: load.Key{Sender: sender, Serial: e.Serial}, Target: e.Target}
}

// item returns the item of a sent event.
func (e *event) item(sender uint32) load.Item {
	item := load.Item{
		Ref: e.ref(sender), Kind: e.Kind,
		Compute: time.Duration(e.ComputeUs) * time.Microsecond,
	}
	for i, key := range e.Keys[:min(len(e.Keys), len(e.Tokens))] {
		item.Chain = append(item.Chain, prompt.Link{Key: key, Tokens: int(e.Tokens[i])})
	}
	return item
}

// decoding bounds what a datagram may hold.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 10, MaxMapPairs: 1 << 10}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

func decodePacket(data []byte) (*packet, error) {
	p := &packet{}
	if err := decoding.Unmarshal(data, p); err != nil {
		return nil, errors.Wrap(err, "decode datagram")
	}
	switch p.Kind {
	case packetLoad, packetVersions:
		return p, nil
	case packetCall, packetReply:
		if p.Message == nil {
			return nil, errors.New("decode datagram: message is missing")
		}
		return p, nil
	}
	return nil, errors.Errorf("decode datagram: unknown kind %d", p.Kind)
}
