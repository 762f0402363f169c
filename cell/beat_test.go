package cell

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryFieldOfABeatThatDoesNotFitIsNamed(t *testing.T) {
	good := `{"service":"s","address":"10.0.0.1:80","slotCount":4,"state":"ready","coldLeftMs":5}`
	_, faults := ReadBeat([]byte(good), Ready)
	require.Empty(t, faults)
	for _, c := range [][2]string{
		{`"service":"s",`, `/service`}, {`"address":"10.0.0.1:80",`, `/address`}, {`"slotCount":4,`, `/slotCount`},
	} {
		_, faults := ReadBeat([]byte(strings.Replace(good, c[0], "", 1)), Ready)
		require.Len(t, faults, 1, c[0])
		require.Equal(t, c[1], faults[0].Path)
		require.Contains(t, faults[0].Text, "missing")
	}
	long := strings.Repeat("s", 200)
	for _, c := range [][3]string{
		{`"s"`, `7`, `/service`}, {`"s"`, `"S P"`, `/service`}, {`"s"`, `"` + long + `"`, `/service`}, {`"s"`, `null`, `/service`},
		{`"10.0.0.1:80"`, `"host:80"`, `/address`}, {`"10.0.0.1:80"`, `"10.0.0.1"`, `/address`}, {`"10.0.0.1:80"`, `["10.0.0.1:80"]`, `/address`}, {`"10.0.0.1:80"`, `"10.0.0.1:99999"`, `/address`},
		{`4`, `-1`, `/slotCount`}, {`4`, `4097`, `/slotCount`}, {`4`, `1e99`, `/slotCount`}, {`4`, `99999999999999999999`, `/slotCount`}, {`4`, `1.5`, `/slotCount`}, {`4`, `"4"`, `/slotCount`},
		{`"ready"`, `"gone"`, `/state`}, {`"ready"`, `true`, `/state`}, {`:5`, `:-5`, `/coldLeftMs`}, {`:5`, `:3600001`, `/coldLeftMs`},
		{`"coldLeftMs"`, `"coldLeft"`, `/coldLeft`}, {`"coldLeftMs":5`, `"slotCount":5`, `/slotCount`}, {`"coldLeftMs":5`, `"cell":"A"`, `/cell`}, {`"coldLeftMs":5`, `"incarnation":{}`, `/incarnation`},
		{`5}`, `5`, ``}, {`{`, `[{`, ``}, {good, `7`, ``}, {good, ``, ``}, {`}`, `}}`, ``},
	} {
		a, faults := ReadBeat([]byte(strings.Replace(good, c[0], c[1], 1)), Ready)
		require.NotEmpty(t, faults, c)
		require.Nil(t, a, c)
		require.Equal(t, c[2], faults[0].Path, c)
	}
}
