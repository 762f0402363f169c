package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

// opening is a node that starts; each step of 50 ms lists whom it sounds and whom it asks for all.
type opening struct {
	*State
	now  ident.Moment
	asks map[string]*wire.Ask
}

func (o *opening) step() (sounds, wholes []string) {
	o.now = o.now.Add(EagerEvery)
	o.Tick(nil, 0, []string{"a:1", "b:1", "c:1"}, o.now)
	for _, m := range o.Flush() {
		a := m.Frame.GetAsk()
		if o.asks[m.To] = a; a.Sounding {
			sounds = append(sounds, m.To)
		} else {
			wholes = append(wholes, m.To)
		}
	}
	return sounds, wholes
}

func newOpening() *opening {
	s := New("n", 1, false)
	s.Eager = true
	return &opening{s, ident.Moment(1e12), map[string]*wire.Ask{}}
}

func TestANodeThatStartsSoundsAllAndAsksOneForAllOfIt(t *testing.T) {
	o := newOpening()
	sounds, wholes := o.step()
	require.Equal(t, []string{"a:1", "b:1", "c:1"}, sounds)
	require.Empty(t, wholes)
	other := New("b", 1, true)
	require.NotNil(t, o.News(other.Answer(o.asks["a:1"], o.now), "a:1", o.now))
	other.TakeCore(&wire.Core{Version: 4, Seats: seatsOf(92), Holds: []*wire.Hold{{Cell: "x", Addr: "h:1"}}}, []byte("doc"), 0, o.now)
	n := other.Answer(o.asks["b:1"], o.now)
	require.Nil(t, n.Core)
	require.Empty(t, n.Cells)
	require.EqualValues(t, 4, n.Newest)
	o.News(n, "b:1", o.now)
	require.False(t, o.CoreKnown)
	_, wholes = o.step()
	require.Equal(t, []string{"b:1"}, wholes, "the other knew nothing yet")
	ask := o.asks["b:1"]
	o.News(&wire.News{Token: o.asks["c:1"].Token, Newest: 4}, "c:1", o.now)
	_, wholes = o.step()
	require.Empty(t, wholes, "one whole answer is on its way")
	for len(wholes) == 0 {
		_, wholes = o.step()
	}
	require.Equal(t, []string{"c:1"}, wholes)
	require.Equal(t, ident.Moment(1e12).Add(2*EagerEvery+SourceWait), o.now, "overdue")
	o.News(other.Answer(ask, o.now), "b:1", o.now)
	require.True(t, o.CoreKnown, "a late answer counts")
	sounds, wholes = o.step()
	require.Empty(t, sounds)
	require.Empty(t, wholes)
	for len(wholes) == 0 {
		_, wholes = o.step()
	}
	require.Equal(t, []string{"h:1"}, wholes, "the holder of the cell that isn't known")
}

func TestOneOfAnOlderBuildAnswersASoundingWithItsCore(t *testing.T) {
	o := newOpening()
	o.step()
	o.News(&wire.News{Token: o.asks["a:1"].Token, HasCore: true, Core: &wire.Core{Version: 4}}, "a:1", o.now)
	require.True(t, o.CoreKnown)
	_, wholes := o.step()
	require.Len(t, wholes, 1)
}

func TestSoundingsDoNotShortenThePatienceWithLargeAnswers(t *testing.T) {
	o := newOpening()
	for range 20 {
		o.step()
		for to, a := range o.asks {
			if a.Sounding {
				o.News(&wire.News{Token: a.Token}, to, o.now)
			}
		}
	}
	require.Equal(t, FirstTook, o.took)
	require.False(t, o.poor)
}
