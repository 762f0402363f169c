package main

import (
	"embed"
	"strings"
)

// words holds the messages and settings in the platform's own words, which stand in no Go file here.
//
//go:embed words
var words embed.FS

// text is one of the files of words, without the line break at its end.
func text(name string) string {
	b, err := words.ReadFile("words/" + name)
	if err != nil {
		panic(err)
	}
	return strings.TrimSuffix(string(b), "\n")
}

// word is what words.txt gives for a name.
func word(name string) string {
	for _, line := range strings.Split(text("words.txt"), "\n") {
		if key, value, _ := strings.Cut(line, " = "); key == name {
			return value
		}
	}
	panic("no word for " + name)
}
