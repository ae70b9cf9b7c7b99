// Package scenarios contains the scenarios that ship with the program.
package scenarios

import (
	"embed"
	"strings"
)

//go:embed *.xml
var files embed.FS

// Names returns the names of the shipped scenarios in lexical order.
func Names() []string {
	entries, _ := files.ReadDir(".") // the embedded directory always exists
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".xml"))
	}
	return names
}

// XML returns the scenario file of the given name, and false if there is none.
func XML(name string) (string, bool) {
	content, err := files.ReadFile(name + ".xml")
	return string(content), err == nil
}
