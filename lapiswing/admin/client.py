"""A small blocking client of the admin socket, for commands that send a single request.

    ask("/run/gateway.sock", "GET", "/v1/verdict")            -> the JSON value of the response
    ask("127.0.0.1:9200", "POST", "/v1/actions", {...}, key)
Raises AdminError with a message for operators."""

import http.client
import json
import socket

from lapiswing.errors import OperatorError

ADVICE = {
    None: "See that a gateway of this version runs there; `admin` in its settings names the address.",
    401: "Give a key that the gateway's settings accept (`--key`, or LAPISWING_ADMIN_KEY).",
    403: "Give a key of `admin.control_key`, or use the control socket.",
    "refused": "`lapiswing status` shows what the gateway knows; give the act what it names.",
}


class AdminError(OperatorError):
    """A failed call. `status`: the HTTP status of the response, None if no readable response arrived."""

    def __init__(self, where, what, status=None):
        super().__init__(where, what, ADVICE.get(status, ADVICE["refused"]))
        self.status = status


class UnixConnection(http.client.HTTPConnection):
    """An HTTP connection over the Unix socket at `path`."""

    def __init__(self, path, timeout):
        super().__init__("localhost", timeout=timeout)
        self.path = path

    def connect(self):
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(self.timeout)
        self.sock.connect(self.path)


def parse_address(address):
    """'host:port' -> (host, port); anything else is returned unchanged, as the path of a Unix socket."""
    host, _, port = address.rpartition(":")
    return (host.strip("[]"), int(port)) if host and port.isdigit() and "/" not in address else address


def ask(address, method, path, value=None, key=None, timeout=5.0):
    """Sends one request and returns the decoded JSON response. `value`: the JSON body; `key`: the bearer key;
    `timeout`: in seconds."""
    target = parse_address(address)
    connection = (
        UnixConnection(target, timeout) if isinstance(target, str) else http.client.HTTPConnection(*target, timeout=timeout)
    )
    try:
        connection.request(
            method, path, json.dumps(value) if value is not None else None, {"authorization": f"Bearer {key}"} if key else {}
        )
        response = connection.getresponse()
        body = json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        raise AdminError(address, getattr(error, "strerror", None) or str(error) or type(error).__name__) from None
    finally:
        connection.close()
    if response.status != 200:
        raise AdminError("", body.get("error", f"answered {response.status}"), response.status)
    if body.get("v") != 1:
        raise AdminError(address, f"speaks version {body.get('v')} of the admin messages; this program speaks 1")
    return body
