package settings

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
)

// Change is a path whose value differs between two documents.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before"` // empty when added
	After  string `json:"after"`  // empty when removed
}

// String formats the change as a line of a diff.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
}

// Diff lists the changes from before to after, sorted by path. List items are matched by
// name, so their order does not matter.
func Diff(before, after Document) []Change {
	previous, updated := flatten(before), flatten(after)
	var changes []Change
	for path, value := range previous {
		if updated[path] != value {
			changes = append(changes, Change{Path: path, Before: value, After: updated[path]})
		}
	}
	for path, value := range updated {
		if _, existed := previous[path]; !existed {
			changes = append(changes, Change{Path: path, After: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

// flatten maps the path of each set value of a document to the value.
func flatten(document Document) map[string]string {
	entries := map[string]string{}
	flattenValue("", reflect.ValueOf(document), entries)
	return entries
}

func flattenValue(path string, value reflect.Value, entries map[string]string) {
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			flattenValue(path, value.Elem(), entries)
		}
	case reflect.Struct:
		flattenStruct(path, value, entries)
	case reflect.Slice:
		flattenSlice(path, value, entries)
	case reflect.String:
		if value.String() != "" {
			entries[path] = value.String()
		}
	default:
		entries[path] = fmt.Sprint(value.Interface())
	}
}

func flattenStruct(path string, value reflect.Value, entries map[string]string) {
	for index := range value.NumField() {
		key, _, _ := strings.Cut(value.Type().Field(index).Tag.Get("yaml"), ",")
		flattenValue(joinPath(path, key), value.Field(index), entries)
	}
}

func flattenSlice(path string, value reflect.Value, entries map[string]string) {
	if value.Type().Elem().Kind() != reflect.Struct {
		if value.Len() > 0 {
			entries[path] = fmt.Sprint(value.Interface())
		}
		return
	}
	for index := range value.Len() {
		item := value.Index(index)
		flattenValue(joinPath(path, item.FieldByName("Name").String()), item, entries)
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
