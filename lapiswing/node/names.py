"""All names of the platform's protocol."""

# headers, in lower case as the HTTP layer passes them on
ID, GROUP, SESSION, DEADLINE = b"req-id", b"req-kind", b"req-key", b"req-deadline"
EXTRA, RETRY, OWNER = b"req-extra", b"req-retry", b"req-owner"
IDEMPOTENCY_KEY = b"idempotency-key"  # only in classes whose servers drop repeats; sent on as part of the request
LOAD, DECLINED = b"srv-load", b"srv-declined"
RETRY_AFTER = b"retry-after"
# fields of EXTRA
PREFIX, PROMPT, PREFIX_TOKENS, MAX_OUT = "prefix", "prompt_len", "prefix_len", "max_out"
# values of RETRY -> bits of the router's `req` event
RETRIES = {b"1": 2, b"again": 16}
# paths
CHAT_PATH, READY_PATH = b"/v1/chat/completions", b"/-/ready"
HEALTH_PATH, LOAD_PATH, ROOMS_PATH = b"/-/healthy", b"/-/load", b"/bootstrap/rooms/"
TARGETS_PATH = b"/api/targets"
# discovery's states -> the router's server modes
MODES = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}
# environment variable with the path of the configuration file
CONFIG_VARIABLE = "RELAY_CONFIG"
# prefix of a comment in an event stream that carries a load report
LOAD_COMMENT = b": Srv-Load:"
