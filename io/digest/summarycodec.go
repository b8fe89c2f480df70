package digest

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/load"
)

// A datagram of summaries holds sections. A section has a header, which is the age of its
// summaries in milliseconds in 2 bytes and their number in one byte, followed by the summaries:
// the hash of the target in 4 bytes, the backlog in backlogUnits in 2, the prompts in one, the
// running requests in 2, the generations in one, and the time since the last completed prompt in
// computedUnits in one byte. Greater values are stated as the greatest one.
const (
	sectionHeaderSize  = 3
	summarySize        = 11
	summariesPerPacket = 100 // keeps a datagram within maxPacketSize
	backlogUnit        = 100 * time.Microsecond
	computedUnit       = 10 * time.Millisecond
	computedUnknown    = 255
)

// targetHash identifies a target in a summary.
type targetHash uint32

func hashTarget(id core.TargetID) targetHash { return targetHash(xxhash.Sum64String(string(id))) }

// section is a group of summaries of the same age, without its header.
type section struct {
	age       time.Duration
	summaries []byte
}

// count returns the number of summaries.
func (s section) count() int { return len(s.summaries) / summarySize }

// appendSection appends an encoded section of up to summariesPerPacket summaries.
func appendSection(data []byte, s section) []byte {
	data = binary.LittleEndian.AppendUint16(data, uint16(min(s.age.Milliseconds(), 1<<16-1)))
	data = append(data, byte(s.count()))
	return append(data, s.summaries...)
}

// appendSummary appends an encoded summary.
func appendSummary(data []byte, s *load.Summary) []byte {
	data = binary.LittleEndian.AppendUint32(data, uint32(hashTarget(s.Target)))
	data = binary.LittleEndian.AppendUint16(data, uint16(min(s.Backlog/backlogUnit, 1<<16-1)))
	data = append(data, byte(min(s.Prompts, 1<<8-1)))
	data = binary.LittleEndian.AppendUint16(data, uint16(min(s.Running, 1<<16-1)))
	computed := byte(computedUnknown)
	if s.HasComputed {
		computed = byte(min(s.SinceComputed/computedUnit, computedUnknown-1))
	}
	return append(data, byte(min(s.Generating, 1<<8-1)), computed)
}

// decodeSections calls yield for each section. It returns an error if data is malformed.
func decodeSections(data []byte, yield func(section)) error {
	for len(data) > 0 {
		if len(data) < sectionHeaderSize {
			return errors.New("decode summaries: truncated header")
		}
		age := time.Duration(binary.LittleEndian.Uint16(data)) * time.Millisecond
		size := int(data[2]) * summarySize
		data = data[sectionHeaderSize:]
		if len(data) < size {
			return errors.New("decode summaries: truncated summary")
		}
		yield(section{age, data[:size]})
		data = data[size:]
	}
	return nil
}

// decodeSummaries calls yield for each summary of a section. Target isn't set.
func decodeSummaries(s section, yield func(targetHash, load.Summary)) {
	for data := s.summaries; len(data) >= summarySize; data = data[summarySize:] {
		yield(targetHash(binary.LittleEndian.Uint32(data)), load.Summary{
			Backlog: time.Duration(binary.LittleEndian.Uint16(data[4:])) * backlogUnit,
			Prompts: int(data[6]), Running: int(binary.LittleEndian.Uint16(data[7:])), Generating: int(data[9]),
			SinceComputed: time.Duration(data[10]) * computedUnit, HasComputed: data[10] != computedUnknown,
		})
	}
}
