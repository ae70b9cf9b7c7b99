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

// ValidationError is one thing that is wrong with a file.
type ValidationError struct {
	File   string
	Line   int
	Path   string // element, and attribute behind @
	Reason string
}

func (f ValidationError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Reason)
}

// ValidationErrors is all that is wrong with a file, in its order.
type ValidationErrors []ValidationError

func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// node is one element with its place.
type node struct {
	name  string
	line  int
	attrs []xml.Attr
	kids  []*node
	text  bool // holds words
}

// parse reads the elements of a document.
func parse(file string, r io.Reader) (*node, error) {
	d := xml.NewDecoder(r)
	var root *node
	var stack []*node
	for {
		t, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			line, _ := d.InputPos()
			return nil, ValidationErrors{{file, line, "(document)", err.Error()}}
		}
		switch t := t.(type) {
		case xml.StartElement:
			line, _ := d.InputPos()
			if len(stack) > 64 {
				return nil, ValidationErrors{{file, line, t.Name.Local, "elements nest too deeply"}}
			}
			n := &node{name: t.Name.Local, line: line, attrs: t.Copy().Attr}
			if len(stack) > 0 {
				top := stack[len(stack)-1]
				top.kids = append(top.kids, n)
			} else {
				root = n
			}
			stack = append(stack, n)
		case xml.EndElement:
			stack = stack[:len(stack)-1]
		case xml.CharData:
			if len(stack) > 0 && strings.TrimSpace(string(t)) != "" {
				stack[len(stack)-1].text = true
			}
		}
	}
	if root == nil {
		return nil, ValidationErrors{{file, 1, "(document)", "holds no element"}}
	}
	return root, nil
}

// reader fills structs from elements and collects the faults. Scalars are
// attributes, structs and slices of structs elements, by their xml tags; a field
// without ",omitempty" must be there.
type reader struct {
	file   string
	faults ValidationErrors
	lines  map[any]int // where each element stood, by the address of its struct
}

func (r *reader) fault(n *node, path, what string) {
	r.faults = append(r.faults, ValidationError{r.file, n.line, path, what})
}

func (r *reader) fill(n *node, path string, v reflect.Value) {
	r.lines[v.Addr().Interface()] = n.line
	if n.text {
		r.fault(n, path, "holds words; only attributes and elements are read")
	}
	attrs, elems := map[string]int{}, map[string]int{}
	t := v.Type()
	for i := range t.NumField() {
		name, isAttr, _ := tag(t.Field(i))
		switch {
		case name == "":
		case isAttr:
			attrs[name] = i
		default:
			elems[name] = i
		}
	}
	seen, places := map[string]bool{}, map[int][]int{}
	for _, a := range n.attrs {
		name := a.Name.Local
		if a.Name.Space != "" || name == "xmlns" {
			continue // schema locations and the like
		}
		i, ok := attrs[name]
		if !ok {
			r.fault(n, path+"/@"+name, "unknown attribute")
			continue
		}
		seen["@"+name] = true
		if err := scalar(v.Field(i), a.Value); err != nil {
			r.fault(n, path+"/@"+name, err.Error())
		}
	}
	for _, kid := range n.kids {
		i, ok := elems[kid.name]
		if !ok {
			r.fault(kid, path+"/"+kid.name, "unknown element")
			continue
		}
		f := v.Field(i)
		if f.Kind() == reflect.Slice {
			item := reflect.New(f.Type().Elem())
			r.fill(kid, path+"/"+kid.name, item.Elem())
			f.Set(reflect.Append(f, item.Elem()))
			places[i] = append(places[i], kid.line)
		} else if seen[kid.name] {
			r.fault(kid, path+"/"+kid.name, "stands twice")
		} else {
			r.fill(kid, path+"/"+kid.name, f)
		}
		seen[kid.name] = true
	}
	for i, lines := range places { // only now do the items stay where they are
		for j, line := range lines {
			r.lines[v.Field(i).Index(j).Addr().Interface()] = line
		}
	}
	for i := range t.NumField() {
		name, isAttr, optional := tag(t.Field(i))
		if name == "" || optional {
			continue
		}
		if isAttr && !seen["@"+name] {
			r.fault(n, path+"/@"+name, "is missing")
		} else if !isAttr && !seen[name] {
			r.fault(n, path+"/"+name, "is missing")
		}
	}
}

// tag reads a field's xml tag.
func tag(f reflect.StructField) (name string, attr, optional bool) {
	name, rest, _ := strings.Cut(f.Tag.Get("xml"), ",")
	if name == "-" {
		name = ""
	}
	return name, strings.Contains(rest, "attr"), strings.Contains(rest, "omitempty")
}

var span = reflect.TypeFor[time.Duration]()

func scalar(f reflect.Value, s string) error {
	switch {
	case f.Type() == span:
		d, err := time.ParseDuration(s)
		if err != nil {
			return fmt.Errorf("%q is no duration such as 300ms or 4.5s", s)
		}
		f.SetInt(int64(d))
	case f.Kind() == reflect.String:
		f.SetString(s)
	case f.Kind() == reflect.Bool:
		switch s {
		case "true", "1":
			f.SetBool(true)
		case "false", "0":
			f.SetBool(false)
		default:
			return fmt.Errorf("%q is neither true nor false", s)
		}
	case f.CanInt():
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || f.OverflowInt(n) {
			return fmt.Errorf("%q is no whole number in range", s)
		}
		f.SetInt(n)
	case f.CanUint():
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil || f.OverflowUint(n) {
			return fmt.Errorf("%q is no whole number in range", s)
		}
		f.SetUint(n)
	case f.CanFloat():
		x, err := strconv.ParseFloat(s, 64)
		if err != nil || x != x {
			return fmt.Errorf("%q is no number", s)
		}
		f.SetFloat(x)
	default:
		return fmt.Errorf("a %s can't be read", f.Type())
	}
	return nil
}

// rootOf tells the name of a document's root element.
func rootOf(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("reading settings: %w", err)
	}
	defer f.Close()
	n, err := parse(path, f)
	if err != nil {
		return "", err
	}
	return n.name, nil
}
