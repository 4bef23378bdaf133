package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against choices that depend on the order of the member list, and against
// keys that move although their member was not removed.
func TestOnlyKeysOfRemovedMemberMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,6}`), 2, 20, rapid.ID[string]).Draw(t, "members")
		removed := rapid.SampledFrom(members).Draw(t, "gone")
		var remaining []string
		for _, m := range rapid.Permutation(members).Draw(t, "order") {
			if m != removed {
				remaining = append(remaining, m)
			}
		}
		before, after := NewSet(members), NewSet(remaining)
		for i := range 50 {
			key := fmt.Sprint("key/", i)
			top := before.Top(key, 2)
			if top[0] != before.First(key) || top[0] == top[1] {
				t.Fatalf("top of %s is %v, first is %s", key, top, before.First(key))
			}
			want := top[0]
			if want == removed {
				want = top[1]
			}
			if got := after.First(key); got != want {
				t.Fatalf("without %s, %s moves from %v to %s", removed, key, top, got)
			}
		}
	})
}

// Guards against members that get many more keys than others.
func TestKeysSpreadEvenly(t *testing.T) {
	is := is.New(t)
	var members []string
	for i := range 7 {
		members = append(members, fmt.Sprintf("entry-%d", i))
	}
	set, count := NewSet(members), map[string]int{}
	for i := range 7000 {
		count[set.First(fmt.Sprint("shard/", i))]++
	}
	for _, m := range members {
		is.True(count[m] > 850 && count[m] < 1150) // 5 standard deviations are 146
	}
	is.Equal(NewSet(nil).First("key"), "")
	is.Equal(len(NewSet(nil).Top("key", 2)), 0)
}
