package settings

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

var updateSchema = flag.Bool("update", false, "write dahliaspindle.xsd from the types")

// enumValues are the attributes that take one of some words.
var enumValues = map[string][]string{"Controller.policy": Policies, "Log.format": {"text", "json"},
	"Log.level": {"debug", "info", "warn", "error"}, "Flows.mode": FlowModes, "Collector.transport": Transports,
	"Collector.protocol": FlowProtocols}

// generateSchema writes the XSD that the Go types stand for.
func generateSchema() string {
	for _, k := range troubleKinds {
		enumValues["Trouble.kind"] = append(enumValues["Trouble.kind"], k.name)
	}
	var b strings.Builder
	b.WriteString(`<?xml version="1.0" encoding="UTF-8"?>
<xs:schema xmlns:xs="http://www.w3.org/2001/XMLSchema">
  <xs:element name="controller" type="Controller"/>
  <xs:element name="scenario" type="Scenario"/>
  <xs:simpleType name="duration">
    <xs:restriction base="xs:string">
      <xs:pattern value="0|([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+"/>
    </xs:restriction>
  </xs:simpleType>
`)
	done := map[reflect.Type]bool{}
	var write func(t reflect.Type)
	write = func(t reflect.Type) {
		if done[t] {
			return
		}
		done[t] = true
		var more []reflect.Type
		fmt.Fprintf(&b, "  <xs:complexType name=\"%s\">\n", t.Name())
		elems, attrs := "", ""
		for i := range t.NumField() {
			f := t.Field(i)
			name, attr, optional := parseTag(f)
			if !attr {
				ft, most := f.Type, "1"
				if ft.Kind() == reflect.Slice {
					ft, most = ft.Elem(), "unbounded"
				}
				least := "1"
				if optional {
					least = "0"
				}
				elems += fmt.Sprintf("      <xs:element name=\"%s\" type=\"%s\" minOccurs=\"%s\" maxOccurs=\"%s\"/>\n", name, ft.Name(), least, most)
				more = append(more, ft)
				continue
			}
			use := "required"
			if optional {
				use = "optional"
			}
			if words := enumValues[t.Name()+"."+name]; words != nil {
				attrs += fmt.Sprintf("    <xs:attribute name=\"%s\" use=\"%s\">\n      <xs:simpleType>\n        <xs:restriction base=\"xs:string\">\n", name, use)
				for _, w := range words {
					attrs += fmt.Sprintf("          <xs:enumeration value=\"%s\"/>\n", w)
				}
				attrs += "        </xs:restriction>\n      </xs:simpleType>\n    </xs:attribute>\n"
				continue
			}
			typ := map[reflect.Kind]string{reflect.Int: "xs:integer", reflect.Uint64: "xs:nonNegativeInteger",
				reflect.Int64: "xs:integer", reflect.Float64: "xs:double", reflect.String: "xs:string", reflect.Bool: "xs:boolean"}[f.Type.Kind()]
			if f.Type == durationType {
				typ = "duration"
			}
			attrs += fmt.Sprintf("    <xs:attribute name=\"%s\" type=\"%s\" use=\"%s\"/>\n", name, typ, use)
		}
		if elems != "" {
			b.WriteString("    <xs:sequence>\n" + elems + "    </xs:sequence>\n")
		}
		b.WriteString(attrs + "  </xs:complexType>\n")
		for _, m := range more {
			write(m)
		}
	}
	write(reflect.TypeFor[Controller]())
	write(reflect.TypeFor[Scenario]())
	b.WriteString("</xs:schema>\n")
	return b.String()
}

func TestSchemaIsThatOfTheTypes(t *testing.T) {
	want := generateSchema()
	if *updateSchema {
		if err := os.WriteFile("dahliaspindle.xsd", []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if Schema != want {
		t.Error("dahliaspindle.xsd is not that of the Go types; go test ./internal/settings -update writes it")
	}
}
