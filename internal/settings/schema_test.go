package settings

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
)

var updateSchema = flag.Bool("update", false, "write dahliaspindle.xsd from the Go types")

// enumValues gives the values of enumerated attributes, by type and attribute name.
var enumValues = map[string][]string{"Controller.policy": Policies, "Log.format": {"text", "json"},
	"Log.level": {"debug", "info", "warn", "error"}, "Flows.mode": FlowModes, "Collector.transport": Transports,
	"Collector.protocol": FlowProtocols}

// generateSchema returns the XSD of the Go types.
func generateSchema() string {
	for _, kind := range troubleKinds {
		enumValues["Trouble.kind"] = append(enumValues["Trouble.kind"], kind.name)
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
	written := map[reflect.Type]bool{}
	var writeType func(t reflect.Type)
	writeType = func(t reflect.Type) {
		if written[t] {
			return
		}
		written[t] = true
		var elemTypes []reflect.Type
		fmt.Fprintf(&b, "  <xs:complexType name=\"%s\">\n", t.Name())
		elements, attributes := "", ""
		for i := range t.NumField() {
			field := t.Field(i)
			name, isAttr, optional := parseTag(field)
			if !isAttr {
				elemType, maxOccurs := field.Type, "1"
				if elemType.Kind() == reflect.Slice {
					elemType, maxOccurs = elemType.Elem(), "unbounded"
				}
				minOccurs := "1"
				if optional {
					minOccurs = "0"
				}
				elements += fmt.Sprintf("      <xs:element name=\"%s\" type=\"%s\" minOccurs=\"%s\" maxOccurs=\"%s\"/>\n", name, elemType.Name(), minOccurs, maxOccurs)
				elemTypes = append(elemTypes, elemType)
				continue
			}
			use := "required"
			if optional {
				use = "optional"
			}
			if values := enumValues[t.Name()+"."+name]; values != nil {
				attributes += fmt.Sprintf("    <xs:attribute name=\"%s\" use=\"%s\">\n      <xs:simpleType>\n        <xs:restriction base=\"xs:string\">\n", name, use)
				for _, value := range values {
					attributes += fmt.Sprintf("          <xs:enumeration value=\"%s\"/>\n", value)
				}
				attributes += "        </xs:restriction>\n      </xs:simpleType>\n    </xs:attribute>\n"
				continue
			}
			attrType := map[reflect.Kind]string{reflect.Int: "xs:integer", reflect.Uint64: "xs:nonNegativeInteger",
				reflect.Int64: "xs:integer", reflect.Float64: "xs:double", reflect.String: "xs:string", reflect.Bool: "xs:boolean"}[field.Type.Kind()]
			if field.Type == durationType {
				attrType = "duration"
			}
			attributes += fmt.Sprintf("    <xs:attribute name=\"%s\" type=\"%s\" use=\"%s\"/>\n", name, attrType, use)
		}
		if elements != "" {
			b.WriteString("    <xs:sequence>\n" + elements + "    </xs:sequence>\n")
		}
		b.WriteString(attributes + "  </xs:complexType>\n")
		for _, elemType := range elemTypes {
			writeType(elemType)
		}
	}
	writeType(reflect.TypeFor[Controller]())
	writeType(reflect.TypeFor[Scenario]())
	b.WriteString("</xs:schema>\n")
	return b.String()
}

func TestSchemaMatchesTypes(t *testing.T) {
	want := generateSchema()
	if *updateSchema {
		if err := os.WriteFile("dahliaspindle.xsd", []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if Schema != want {
		t.Error("dahliaspindle.xsd does not match the Go types; go test ./internal/settings -update writes it")
	}
}
