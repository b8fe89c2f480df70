package streamstart

import (
	"testing"

	"gorseline/core"
)

// Guards against a version that doesn't follow from the evidence.
func TestDecide(t *testing.T) {
	const arrived = core.Instant(1000)
	var (
		none   = Evidence{}
		record = Evidence{Kind: EvidenceRecord, Tag: 1}
		single = Evidence{Kind: EvidenceSingle, Tag: 1, AsOf: arrived - 1}
		proven = Evidence{Kind: EvidenceSingle, Tag: 1, AsOf: arrived}
		seen   = Evidence{Kind: EvidenceSeen, Tag: 1}
		other  = Evidence{Kind: EvidenceSeen, Tag: 2}
		mixed  = Evidence{Kind: EvidenceMixed}
	)
	for _, c := range []struct {
		name         string
		own          Evidence
		answers      []Evidence
		isSufficient bool
		want         Result
	}{
		{"own record", record, nil, false, FoundOwn},
		{"record of a home", mixed, []Evidence{none, mixed, record}, false, FoundRecord},
		{"record against a single version", single, []Evidence{{Kind: EvidenceRecord, Tag: 2}}, false, FoundRecord},
		{"contradicting records", none, []Evidence{record, {Kind: EvidenceRecord, Tag: 2}}, true, NotFoundConflict},
		{"enough answered, one knows", none, []Evidence{single, none}, true, FoundSingle},
		{"own knowledge, enough answered", single, []Evidence{none}, true, FoundSingle},
		{"alone", single, nil, true, FoundSingle},
		{"too many are silent", single, []Evidence{single}, false, NotFoundSilent},
		{"too many are silent, later evidence", seen, []Evidence{proven}, false, FoundSingle},
		{"nobody answers, own later evidence", proven, nil, false, FoundSingle},
		{"nobody answers", single, nil, false, NotFoundSilent},
		{"nobody knows", seen, []Evidence{seen, none}, true, NotFoundSilent},
		{"a peer sees several versions", proven, []Evidence{mixed, proven}, true, NotFoundMixed},
		{"own view has several versions", mixed, []Evidence{proven}, true, NotFoundMixed},
		{"a peer has seen another version", proven, []Evidence{other}, true, NotFoundConflict},
		{"own view shows another version", other, []Evidence{proven}, true, NotFoundConflict},
		{"nothing", none, nil, true, NotFoundSilent},
	} {
		t.Run(c.name, func(t *testing.T) {
			tag, result := Decide(arrived, c.own, c.answers, c.isSufficient)
			if result != c.want {
				t.Errorf("result %v, want %v", result, c.want)
			}
			if result == FoundSingle && tag != 1 {
				t.Errorf("tag %v", tag)
			}
		})
	}
}
