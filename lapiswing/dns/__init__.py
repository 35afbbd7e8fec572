"""Names to boxes: a resolver on the project's loop, and DNS-SD browsing over it.

codec      questions and answers as bytes, by dnspython's codec; what does not fit its question is refused; pure
cache      records with lifetimes, refresh times and the last good view; pure
resolver   UDP, TCP after truncation, several servers with back-off
browse     DNS-SD and plain SRV -> entries of boxes; deciding what to ask next is pure"""
