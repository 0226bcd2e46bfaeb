package codec

// Kinds of the messages between VMs, as the kind field of an envelope names them.
const (
	KindHello         = "hello"
	KindHeartbeat     = "heartbeat"
	KindSubRequests   = "sub-requests"
	KindParts         = "parts"
	KindCancel        = "cancel"
	KindHandover      = "handover"
	KindConfigRequest = "config-request"
	KindConfigValue   = "config-value"
	KindOrderForward  = "order-forward"
	KindOrderResult   = "order-result"
	KindCanaryRequest = "canary-request"
	KindCanaryVerdict = "canary-verdict"
	KindCanaryReport  = "canary-report"
	KindQueryForward  = "query-forward"
	KindQueryAccept   = "query-accept"
	KindQueryConfirm  = "query-confirm"
	KindQueryResult   = "query-result"
	KindQueryCancel   = "query-cancel"
)
