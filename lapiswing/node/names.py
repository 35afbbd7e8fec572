"""Every name of the platform's protocol, in one table."""

# headers, in lower case as the HTTP layer gives them
ID, GROUP, SESSION, DEADLINE = b"req-id", b"req-kind", b"req-key", b"req-deadline"
EXTRA, RETRY, OWNER = b"req-extra", b"req-retry", b"req-owner"
IDEMPOTENCY_KEY = b"idempotency-key"  # of a class whose servers drop repeats; part of the request
LOAD, DECLINED = b"srv-load", b"srv-declined"
RETRY_AFTER = b"retry-after"
# fields of EXTRA
PREFIX, PROMPT, PREFIX_TOKENS, MOST_OUT = "prefix", "prompt_len", "prefix_len", "max_out"
# values of RETRY -> bits of the module's `req` event
RETRIES = {b"1": 2, b"again": 16}
# paths
CHAT, READY = b"/v1/chat/completions", b"/-/ready"
HEALTHY, LOADED, ROOMS = b"/-/healthy", b"/-/load", b"/bootstrap/rooms/"
TARGETS = b"/api/targets"
# discovery's states -> the module's modes
MODES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}
# where the configuration is
CONFIG = "RELAY_CONFIG"
# what a comment line in a stream may begin with
LOAD_LINE = b": Srv-Load:"
