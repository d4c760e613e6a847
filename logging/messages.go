package logging

// Messages of log lines that package logstory reads: the end of a request, and the
// changes of what a daemon believes.
const (
	MessageRequestEnded       = "request ended"
	MessageNoReplica          = "no replica at once"
	MessageTableRead          = "routing table read"
	MessageHolderChanged      = "order holder changed"
	MessageTermBegins         = "term begins"
	MessageTermLost           = "term lost"
	MessageReplicaListed      = "replica in the registry"
	MessageReplicaGone        = "replica gone from the registry"
	MessageReportsRewritten   = "reports that a restore took away are written again"
	MessageReplicaDoubted     = "replica back in a restored registry gets nothing new for a while"
	MessageEntryRefused       = "registry entry not used"
	MessageRegistryFollowed   = "registry followed"
	MessageLoadOrder          = "load order"
	MessageReplicaHeard       = "replica state heard"
	MessageReplicaLeaves      = "replica says that it leaves"
	MessageLeavingTold        = "replicas leave, by another daemon's word"
	MessageReplicaRests       = "replica asks for rest"
	MessageReplicaLimit       = "replica's limit changed"
	MessageLimitTold          = "replica's limit, by another daemon's word"
	MessageLimitUnreadable    = "replica's limit not readable"
	MessageLedgerBegun        = "ledger of tenants' limits begun"
	MessageStopPhase          = "planned stop goes on"
	MessageReplicaProbed      = "replica asked whether it runs"
	MessageReplicaEndedUnder  = "replica ended under a request"
	MessageRequestCleared     = "request served whole after replicas had ended"
	MessageDependencyLost     = "dependency lost"
	MessageServiceRestored    = "records of a restored key-value service taken"
	MessageDependencyRegained = "dependency regained"
	MessageReplicasKnown      = "which replicas are known has changed"
	MessageDirectories        = "directories of replicas changed"
)

// OutcomeAnswered is the outcome of a request whose whole answer was passed on.
const OutcomeAnswered = "answered"
