package logging

import (
	"github.com/sirupsen/logrus"

	"github.com/finchspoke/finchspoke/kv"
)

// RevisionFields returns the fields of a revision of the key-value service: its era and the service's own count.
func RevisionFields(revision int64) logrus.Fields {
	return logrus.Fields{Era: kv.EraOf(revision), Revision: kv.CounterOf(revision)}
}
