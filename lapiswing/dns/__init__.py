"""Finding servers by DNS: a resolver on the event loop, and DNS-SD browsing on top of it.

codec      queries and answers as bytes, encoded by dnspython; answers that do not match their query are rejected; no I/O
cache      records with lifetimes, refresh times and the last known good records; no I/O
resolver   UDP, TCP after truncation, several name servers with back-off
browse     DNS-SD and plain SRV names -> servers; deciding what to query next needs no I/O"""
