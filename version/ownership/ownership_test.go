package ownership_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/version/ownership"
)

func raw(t interface{ Fatal(...any) }, r ownership.Record) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func join(name string) ownership.Record {
	return ownership.Record{ID: "join-" + name, Join: &ownership.Entry{Instance: name + "#1", Name: name}}
}

func claim(id, author string, slot uint32, expected uint64, witnesses ...string) ownership.Record {
	return ownership.Record{ID: id, Claim: &ownership.Claim{
		Author: author, Owner: author, Witnesses: witnesses,
		Slots: []ownership.SlotClaim{{Slot: slot, Expected: expected}},
	}}
}

func fold(t *testing.T, records ...ownership.Record) *ownership.Table {
	t.Helper()
	table := ownership.New()
	for i, r := range records {
		if err := table.Apply(uint64(i), raw(t, r)); err != nil {
			t.Fatal(err)
		}
	}
	return table
}

func TestFirstClaimOfAnEpochWins(t *testing.T) {
	is := is.New(t)
	table := fold(t, join("a"), join("b"), claim("1", "a#1", 7, 0, "w"), claim("2", "b#1", 7, 0, "x"))
	is.Equal(table.Slot(7).Owner, "a#1")
	is.Equal(table.Slot(7).Epoch, uint64(1))
	is.Equal(table.Slot(7).Witnesses, []string{"w"})
}

func TestRepeatedRecordCountsOnce(t *testing.T) {
	is := is.New(t)
	table := fold(t, join("a"), claim("1", "a#1", 7, 0, "w"), claim("1", "a#1", 7, 1, "w"))
	is.Equal(table.Slot(7).Epoch, uint64(1))
}

func TestOnlyTheOwnerChangesWitnesses(t *testing.T) {
	is := is.New(t)
	table := fold(t, join("a"), join("b"), claim("1", "a#1", 7, 0, "w"), claim("2", "b#1", 7, 1, "stranger"))
	is.Equal(table.Slot(7).Owner, "b#1")
	is.Equal(table.Slot(7).Witnesses, []string{"w"})
}

func TestMalformedRecordIsSkipped(t *testing.T) {
	is := is.New(t)
	table := ownership.New()
	is.True(table.Apply(0, []byte("{")) != nil)
	is.NoErr(table.Apply(1, raw(t, join("a"))))
	is.Equal(table.Next(), uint64(2))
}

// TestReadersAgree folds one history whole, with repeats, and from the middle
// with a snapshot, and expects one table.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := [][]byte{raw(t, join("a")), raw(t, join("b"))}
		whole := ownership.New()
		snapshotAt := -1
		apply := func(table *ownership.Table, i int) {
			if err := table.Apply(uint64(i), records[i]); err != nil {
				t.Fatal(err)
			}
		}
		apply(whole, 0)
		apply(whole, 1)
		for i := range rapid.IntRange(5, 40).Draw(t, "records") {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				state := whole.Snapshot()
				records = append(records, raw(t, ownership.Record{ID: fmt.Sprint("s", i), Snapshot: &state}))
				snapshotAt = int(state.Next)
			} else {
				author := rapid.SampledFrom([]string{"a#1", "b#1", "stranger#1"}).Draw(t, "author")
				slot := uint32(rapid.IntRange(0, 2).Draw(t, "slot"))
				expected := uint64(rapid.IntRange(0, 4).Draw(t, "expected"))
				records = append(records, raw(t, claim(fmt.Sprint(i), author, slot, expected, author)))
			}
			apply(whole, len(records)-1)
		}
		twice := ownership.New()
		for i := range records {
			apply(twice, i)
			apply(twice, rapid.IntRange(0, i).Draw(t, "repeat"))
		}
		if !reflect.DeepEqual(whole.Snapshot(), twice.Snapshot()) {
			t.Fatalf("a reader that reads records twice differs")
		}
		if snapshotAt < 0 {
			return
		}
		first := rapid.IntRange(1, snapshotAt).Draw(t, "first")
		late := ownership.New()
		late.Skip(uint64(first))
		for i := first; i < len(records); i++ {
			apply(late, i)
		}
		if !late.Complete() || !reflect.DeepEqual(whole.Snapshot().Slots, late.Snapshot().Slots) {
			t.Fatalf("a reader that began at %d differs", first)
		}
	})
}

func TestRemovedCandidateMovesOnlyItsSlots(t *testing.T) {
	is := is.New(t)
	for slot := range uint32(ownership.Slots) {
		all := ownership.PreferredOwner(slot, []string{"a", "b", "c"})
		if all != "c" {
			is.Equal(ownership.PreferredOwner(slot, []string{"a", "b"}), all)
		}
	}
}
