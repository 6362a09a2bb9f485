package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// typeChecker compares a JSON text with a Go type and reports unknown names, duplicate names and wrong types.
type typeChecker struct {
	decoder  *json.Decoder
	problems *ProblemsError
}

// items checks the values of an array and consumes its closing bracket.
func (c *typeChecker) items(path string, element reflect.Type) error {
	for i := 0; c.decoder.More(); i++ {
		if err := c.value(path+"["+strconv.Itoa(i)+"]", element); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// members checks the members of an object and consumes its closing brace.
func (c *typeChecker) members(path string, t reflect.Type) error {
	names := map[string]bool{}
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		name := fmt.Sprint(token)
		member := join(path, name)
		if names[name] {
			c.problems.add(member, "the name occurs more than once")
		}
		names[name] = true
		valueType, known := memberType(t, name)
		if !known {
			c.problems.add(member, "unknown name")
			if err := c.skip(); err != nil {
				return err
			}
			continue
		}
		if err := c.value(member, valueType); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// skip consumes one value.
func (c *typeChecker) skip() error {
	depth := 0
	for {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
	}
}

// value checks the next value against t.
func (c *typeChecker) value(path string, t reflect.Type) error {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	var raw json.RawMessage
	switch t.Kind() {
	case reflect.Struct, reflect.Map, reflect.Slice:
		return c.composite(path, t)
	default:
		if err := c.decoder.Decode(&raw); err != nil {
			return err
		}
	}
	switch t.Kind() {
	case reflect.String:
		if raw[0] != '"' {
			c.problems.add(path, "must be a string, not %s", kindOf(raw[0]))
		}
	case reflect.Bool:
		if raw[0] != 't' && raw[0] != 'f' {
			c.problems.add(path, "must be a boolean, not %s", kindOf(raw[0]))
		}
	case reflect.Float64:
		if _, err := strconv.ParseFloat(string(raw), 64); err != nil {
			c.problems.add(path, "must be a number, not %s", kindOf(raw[0]))
		}
	default:
		if _, err := strconv.ParseInt(string(raw), 10, 64); err != nil {
			c.problems.add(path, "must be a whole number, not %s", kindOf(raw[0]))
		}
	}
	return nil
}

// composite checks the next value, which must be an object or an array, against the struct, map or slice type t.
func (c *typeChecker) composite(path string, t reflect.Type) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	want, name := json.Delim('{'), "an object"
	if t.Kind() == reflect.Slice {
		want, name = json.Delim('['), "an array"
	}
	delim, isDelim := token.(json.Delim)
	switch {
	case !isDelim:
		c.problems.add(path, "must be %s", name)
		return nil
	case delim != want:
		c.problems.add(path, "must be %s", name)
		return c.skipRemaining()
	case t.Kind() == reflect.Slice:
		return c.items(path, t.Elem())
	}
	return c.members(path, t)
}

// skipRemaining consumes the remaining tokens of an object or array whose opening token was already read.
func (c *typeChecker) skipRemaining() error {
	for c.decoder.More() {
		if err := c.skip(); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// kindOf returns a description of the JSON value that starts with the byte first, for problems with values of a wrong type.
func kindOf(first byte) string {
	switch first {
	case '"':
		return "a string"
	case '{':
		return "an object"
	case '[':
		return "an array"
	case 't', 'f':
		return "a boolean"
	case 'n':
		return "null"
	}
	return "a fraction or a number out of range"
}

// memberType returns the type of the member with the given name in an object of type t, or false if there is none.
func memberType(t reflect.Type, name string) (reflect.Type, bool) {
	if t.Kind() == reflect.Map {
		return t.Elem(), true
	}
	for i := range t.NumField() {
		field := t.Field(i)
		if tag, _, _ := strings.Cut(field.Tag.Get("json"), ","); tag == name {
			return field.Type, true
		}
	}
	return nil, false
}
