// Package request holds the types that describe one inference request to the
// parts that queue, place and dispatch it.
package request

import "github.com/pkg/errors"

// Class is the priority class of a request. Lower values are served first.
type Class uint8

// The priority classes.
const (
	Interactive Class = iota // a person waits for the first token
	Standard                 // the default
	Bulk                     // may wait for hours, must arrive whole
)

// ClassCount is the number of classes; classes index arrays of this size.
const ClassCount = 3

var classNames = [ClassCount]string{"interactive", "standard", "bulk"}

// String returns the name used in settings and headers.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "unknown"
}

// ParseClass reads a class name.
func ParseClass(name string) (Class, error) {
	for index, known := range classNames {
		if name == known {
			return Class(index), nil
		}
	}
	return 0, errors.Errorf("unknown class %q; use interactive, standard or bulk", name)
}
