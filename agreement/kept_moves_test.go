package agreement

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// keptWorld reads a list of moves that once broke the model: a line with the members, whether they have
// founded, and the batch; then a line for each move.
func keptWorld(t *testing.T, file string) (*world, []move) {
	f, err := os.Open(file)
	require.NoError(t, err)
	defer f.Close()
	kindOf := map[string]kind{}
	for k := kind(0); k < kinds; k++ {
		kindOf[k.String()] = k
	}
	lines := bufio.NewScanner(f)
	require.True(t, lines.Scan())
	var members, batch int
	var founded bool
	_, err = fmt.Sscanf(lines.Text(), "members %d founded %t batch %d", &members, &founded, &batch)
	require.NoError(t, err)
	var list []move
	for lines.Scan() {
		var name string
		var m move
		_, err = fmt.Sscan(lines.Text(), &name, &m.A, &m.B)
		require.NoError(t, err)
		require.Contains(t, kindOf, name)
		m.Kind = kindOf[name]
		list = append(list, m)
	}
	require.NoError(t, lines.Err())
	return newWorld(members, founded, batch, weak{}), list
}

// Guards against what each of the kept lists of moves brought about, as the name of its file tells.
func TestModelHoldsOnKeptMoves(t *testing.T) {
	files, err := filepath.Glob("testdata/moves/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			w, list := keptWorld(t, file)
			require.Empty(t, w.run(list))
		})
	}
}
