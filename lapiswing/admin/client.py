"""A small blocking client of the admin socket, for commands that ask once.

    ask("/run/gateway.sock", "GET", "/v1/verdict")            -> the answer's JSON
    ask("127.0.0.1:9200", "POST", "/v1/actions", {...}, key)
Raises AdminError with a text for people."""

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
    """`status` is the answer's, None where there was none that could be read."""

    def __init__(self, where, what, status=None):
        super().__init__(where, what, ADVICE.get(status, ADVICE["refused"]))
        self.status = status


class UnixConnection(http.client.HTTPConnection):
    def __init__(self, path, timeout):
        super().__init__("localhost", timeout=timeout)
        self.path = path

    def connect(self):
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(self.timeout)
        self.sock.connect(self.path)


def place_of(where):
    """'host:port' -> (host, port), anything else is a Unix path."""
    host, _, port = where.rpartition(":")
    return (host.strip("[]"), int(port)) if host and port.isdigit() and "/" not in where else where


def ask(where, method, path, value=None, key=None, timeout=5.0):
    place = place_of(where)
    connection = UnixConnection(place, timeout) if isinstance(place, str) else http.client.HTTPConnection(*place, timeout=timeout)
    try:
        connection.request(
            method, path, json.dumps(value) if value is not None else None, {"authorization": f"Bearer {key}"} if key else {}
        )
        answer = connection.getresponse()
        body = json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError) as problem:
        raise AdminError(where, getattr(problem, "strerror", None) or str(problem) or type(problem).__name__) from None
    finally:
        connection.close()
    if answer.status != 200:
        raise AdminError("", body.get("error", f"answered {answer.status}"), answer.status)
    if body.get("v") != 1:
        raise AdminError(where, f"speaks version {body.get('v')} of the admin messages; this program speaks 1")
    return body
