package logging

import (
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
)

// RevisionFields returns the log fields of a revision of the key-value service: the era, and the
// service's own revision number.
func RevisionFields(revision int64) logrus.Fields {
	return logrus.Fields{Era: kv.EraOf(revision), Revision: kv.CounterOf(revision)}
}
