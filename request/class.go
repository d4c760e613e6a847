// Package request holds the types that describe an inference request to the packages that queue,
// place and dispatch it.
package request

import "github.com/pkg/errors"

// Class is the priority class of a request. Lower values are served first.
type Class uint8

// The priority classes, from the highest to the lowest.
const (
	Interactive Class = iota // a user waits for the first token
	Standard                 // the default
	Bulk                     // may wait for hours; needs a complete response
)

// ClassCount is the number of classes, for arrays indexed by class.
const ClassCount = 3

var classNames = [ClassCount]string{"interactive", "standard", "bulk"}

// String returns the name used in settings and headers.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "unknown"
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for index, known := range classNames {
		if name == known {
			return Class(index), nil
		}
	}
	return 0, errors.Errorf("unknown class %q; use interactive, standard or bulk", name)
}
