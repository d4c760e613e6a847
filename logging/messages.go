package logging

// Messages of log lines that package logstory and operators match: the end of a request, and
// changes in the state that a daemon observes.
const (
	MessageRequestEnded              = "request ended"
	MessageNoReplica                 = "no replica at once"
	MessageTableRead                 = "routing table read"
	MessageLeaderChanged             = "order holder changed"
	MessageTermStarted               = "term begins"
	MessageTermLost                  = "term lost"
	MessageReplicaListed             = "replica in the registry"
	MessageReplicaRemoved            = "replica gone from the registry"
	MessageReportsRewritten          = "reports that a restore took away are written again"
	MessageRestoredReplicaOnHold     = "replica back in a restored registry gets nothing new for a while"
	MessageEntryRejected             = "registry entry not used"
	MessageRegistrySummary           = "registry followed"
	MessageLoadOrder                 = "load order"
	MessageReplicaState              = "replica state heard"
	MessageReplicaDraining           = "replica says that it leaves"
	MessageRelayedDraining           = "replicas leave, by another daemon's word"
	MessageReplicaBackoff            = "replica asks for rest"
	MessageReplicaLimitChanged       = "replica's limit changed"
	MessageRelayedLimit              = "replica's limit, by another daemon's word"
	MessageInvalidLimit              = "replica's limit not readable"
	MessageLedgerStarted             = "ledger of tenants' limits begun"
	MessageLimitUnknown              = "limit could not be checked"
	MessageStandbyAppointed          = "standby of tenants' limits appointed"
	MessageShutdownPhase             = "planned stop goes on"
	MessageReplicaProbed             = "replica asked whether it runs"
	MessageReplicaCrashed            = "replica ended under a request"
	MessageSuspectCleared            = "request served whole after replicas had ended"
	MessageDependencyLost            = "dependency lost"
	MessageStoreRestored             = "records of a restored key-value service taken"
	MessageDependencyRegained        = "dependency regained"
	MessageReplicaRecordScopeChanged = "which replicas are known has changed"
	MessageDirectoriesChanged        = "directories of replicas changed"
)

// OutcomeAnswered is the outcome of a request whose complete response was relayed to the caller.
const OutcomeAnswered = "answered"
