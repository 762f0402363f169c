package main

import (
	"embed"
	"strings"
	"sync"
)

// words holds the messages and settings in the platform's own words, which stand in no Go file here.
//
//go:embed words
var words embed.FS

// text is one of the files of words, without the line break at its end.
func text(name string) string {
	content, err := words.ReadFile("words/" + name)
	if err != nil {
		panic(err)
	}
	return strings.TrimSuffix(string(content), "\n")
}

var wordsByName = sync.OnceValue(func() map[string]string {
	byName := map[string]string{}
	for _, line := range strings.Split(text("words.txt"), "\n") {
		name, value, _ := strings.Cut(line, " = ")
		byName[name] = value
	}
	return byName
})

// word is what words.txt gives for a name.
func word(name string) string {
	value, ok := wordsByName()[name]
	if !ok {
		panic("no word for " + name)
	}
	return value
}

// line is a line of a head.
func line(name, value string) string { return word(name) + ": " + value + "\r\n" }
