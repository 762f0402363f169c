package ringfile

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTheShelfHoldsTheNewestWholeCopyOverPowerLosses(t *testing.T) {
	for seed := int64(0); seed < 100; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		d := memDir{}
		last := 0
		for life := 0; life < 8; life++ {
			s, doc, err := OpenShelf(d)
			require.NoError(t, err)
			if last > 0 {
				n := 0
				_, err := fmt.Sscanf(string(doc), "%d", &n)
				require.NoError(t, err, "seed %d", seed)
				require.GreaterOrEqual(t, n, last, "seed %d", seed)
				last = n
			}
			for i := rnd.Intn(4); i >= 0; i-- {
				last++
				require.NoError(t, s.Save([]byte(fmt.Sprint(last, strings.Repeat(" ", rnd.Intn(3000))))))
			}
			next := fmt.Sprint(last+1, strings.Repeat("x", rnd.Intn(3000)))
			f := s.files[(s.number+1)%2].(*memFile)
			kept := append([]byte(nil), f.kept...)
			require.NoError(t, s.Save([]byte(next)))
			f.kept = kept
			d.powerLoss(rnd)
		}
	}
}

func TestAForeignOrTornShelfIsPassedOver(t *testing.T) {
	d := memDir{}
	s, doc, err := OpenShelf(d)
	require.NoError(t, err)
	require.Empty(t, doc)
	require.Empty(t, s.Passed)
	require.NoError(t, s.Save([]byte("one")))
	require.NoError(t, s.Save([]byte("two")))
	d["shelf-0"].now[shelfHead] ^= 1
	s, doc, err = OpenShelf(d)
	require.NoError(t, err)
	require.Equal(t, "one", string(doc))
	require.Equal(t, []string{"shelf-0: torn"}, s.Passed)
	copy(d["shelf-1"].now, "something")
	s, doc, _ = OpenShelf(d)
	require.Empty(t, doc)
	require.Len(t, s.Passed, 2)
	require.Error(t, s.Save(make([]byte, ShelfSize)))
	require.NoError(t, s.Save([]byte("again")))
	_, doc, _ = OpenShelf(d)
	require.Equal(t, "again", string(doc))
}
