"""Transfer of read states between model servers: chunks, flow control, checksums, resumption. A read state is what a read
(prefill) server leaves for a write (decode) server. docs/transfer.md describes the protocol.

frames        encoding and decoding of frames and manifests; no I/O
machine       state machines of one receiver and of one sending connection; no I/O
decide        order, windows, what to do when a transfer stalls or fails; no I/O
states        states in memory and in files
peers         the two ends of a connection between agents
fetch         one state on its way to this agent
agent         serves and fetches states on the event loop
certificates  keys and certificates of agents, TLS contexts
serve         the agent as a program with an HTTP interface"""
