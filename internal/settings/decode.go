package settings

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// ValidationError is one error in a settings or scenario file.
type ValidationError struct {
	File   string
	Line   int
	Path   string // path of the element; an attribute follows @
	Reason string
}

// Error returns file, line, path and reason.
func (e ValidationError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Path, e.Reason)
}

// ValidationErrors is the list of all errors in a file.
type ValidationErrors []ValidationError

// Error returns the errors, one per line.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i := range e {
		lines[i] = e[i].Error()
	}
	return strings.Join(lines, "\n")
}

// element is one XML element with the line of its start tag.
type element struct {
	name     string
	line     int
	attrs    []xml.Attr
	children []*element
	hasText  bool // contains text other than white space
}

// parseDocument parses an XML document into its elements.
func parseDocument(file string, in io.Reader) (*element, error) {
	xmlDecoder := xml.NewDecoder(in)
	var root *element
	var stack []*element
	for {
		token, err := xmlDecoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			line, _ := xmlDecoder.InputPos()
			return nil, ValidationErrors{{file, line, "(document)", err.Error()}}
		}
		switch token := token.(type) {
		case xml.StartElement:
			line, _ := xmlDecoder.InputPos()
			if len(stack) > 64 {
				return nil, ValidationErrors{{file, line, token.Name.Local, "elements nest too deeply"}}
			}
			start := &element{name: token.Name.Local, line: line, attrs: token.Copy().Attr}
			if len(stack) > 0 {
				parent := stack[len(stack)-1]
				parent.children = append(parent.children, start)
			} else {
				root = start
			}
			stack = append(stack, start)
		case xml.EndElement:
			stack = stack[:len(stack)-1]
		case xml.CharData:
			if len(stack) > 0 && strings.TrimSpace(string(token)) != "" {
				stack[len(stack)-1].hasText = true
			}
		}
	}
	if root == nil {
		return nil, ValidationErrors{{file, 1, "(document)", "contains no element"}}
	}
	return root, nil
}

// decoder fills structs from elements and collects all errors. The xml tags of the
// fields give the names: scalar fields are attributes, structs and slices of structs
// are elements. A field without ",omitempty" is required.
type decoder struct {
	file   string
	errors ValidationErrors
	lines  map[any]int // line of each element by the address of its struct
}

// addError records an error at an element.
func (d *decoder) addError(elem *element, path, reason string) {
	d.errors = append(d.errors, ValidationError{d.file, elem.line, path, reason})
}

// decodeElement fills the struct value from an element and its children.
func (d *decoder) decodeElement(elem *element, path string, value reflect.Value) {
	d.lines[value.Addr().Interface()] = elem.line
	if elem.hasText {
		d.addError(elem, path, "contains text; only attributes and elements are allowed")
	}
	attrFields, elemFields := map[string]int{}, map[string]int{}
	t := value.Type()
	for i := range t.NumField() {
		name, isAttr, _ := parseTag(t.Field(i))
		switch {
		case name == "":
		case isAttr:
			attrFields[name] = i
		default:
			elemFields[name] = i
		}
	}
	seen, itemLines := map[string]bool{}, map[int][]int{}
	for _, attr := range elem.attrs {
		name := attr.Name.Local
		if attr.Name.Space != "" || name == "xmlns" {
			continue // namespace declarations and schema locations
		}
		i, ok := attrFields[name]
		if !ok {
			d.addError(elem, path+"/@"+name, "unknown attribute")
			continue
		}
		seen["@"+name] = true
		if err := setScalar(value.Field(i), attr.Value); err != nil {
			d.addError(elem, path+"/@"+name, err.Error())
		}
	}
	for _, child := range elem.children {
		i, ok := elemFields[child.name]
		if !ok {
			d.addError(child, path+"/"+child.name, "unknown element")
			continue
		}
		field := value.Field(i)
		if field.Kind() == reflect.Slice {
			item := reflect.New(field.Type().Elem())
			d.decodeElement(child, path+"/"+child.name, item.Elem())
			field.Set(reflect.Append(field, item.Elem()))
			itemLines[i] = append(itemLines[i], child.line)
		} else if seen[child.name] {
			d.addError(child, path+"/"+child.name, "appears more than once")
		} else {
			d.decodeElement(child, path+"/"+child.name, field)
		}
		seen[child.name] = true
	}
	// The addresses of the items are final only now: appending can move them.
	for i, lines := range itemLines {
		for j, line := range lines {
			d.lines[value.Field(i).Index(j).Addr().Interface()] = line
		}
	}
	for i := range t.NumField() {
		name, isAttr, optional := parseTag(t.Field(i))
		if name == "" || optional {
			continue
		}
		if isAttr && !seen["@"+name] {
			d.addError(elem, path+"/@"+name, "is missing")
		} else if !isAttr && !seen[name] {
			d.addError(elem, path+"/"+name, "is missing")
		}
	}
}

// parseTag returns the name in a field's xml tag, "" if it has none, and whether the
// field is an attribute and whether it is optional.
func parseTag(field reflect.StructField) (name string, isAttr, optional bool) {
	name, rest, _ := strings.Cut(field.Tag.Get("xml"), ",")
	if name == "-" {
		name = ""
	}
	return name, strings.Contains(rest, "attr"), strings.Contains(rest, "omitempty")
}

var durationType = reflect.TypeFor[time.Duration]()

// setScalar parses the text of an attribute into a field.
func setScalar(field reflect.Value, text string) error {
	switch {
	case field.Type() == durationType:
		duration, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 300ms or 4.5s", text)
		}
		field.SetInt(int64(duration))
	case field.Kind() == reflect.String:
		field.SetString(text)
	case field.Kind() == reflect.Bool:
		switch text {
		case "true", "1":
			field.SetBool(true)
		case "false", "0":
			field.SetBool(false)
		default:
			return fmt.Errorf("%q is neither true nor false", text)
		}
	case field.CanInt():
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || field.OverflowInt(n) {
			return fmt.Errorf("%q is not a whole number in range", text)
		}
		field.SetInt(n)
	case field.CanUint():
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil || field.OverflowUint(n) {
			return fmt.Errorf("%q is not a whole number in range", text)
		}
		field.SetUint(n)
	case field.CanFloat():
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x != x {
			return fmt.Errorf("%q is not a number", text)
		}
		field.SetFloat(x)
	default:
		return fmt.Errorf("values of type %s are not supported", field.Type())
	}
	return nil
}

// rootElementName returns the name of the root element of a file.
func rootElementName(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("reading settings: %w", err)
	}
	defer file.Close()
	root, err := parseDocument(path, file)
	if err != nil {
		return "", err
	}
	return root.name, nil
}
