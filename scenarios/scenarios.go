// Package scenarios holds the scenarios that ship with the program.
package scenarios

import (
	"embed"
	"strings"
)

//go:embed *.xml
var files embed.FS

// Names lists them.
func Names() []string {
	entries, _ := files.ReadDir(".") // embedded: it is there
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".xml"))
	}
	return names
}

// XML returns the file of one, and whether it ships.
func XML(name string) (string, bool) {
	b, err := files.ReadFile(name + ".xml")
	return string(b), err == nil
}
