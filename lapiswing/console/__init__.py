"""The terminal console: a separate process that connects to the admin socket.

text    makes text safe for a terminal and measures its width
model   the state of the console and the effect of keys; no I/O
views   model -> lines of styled text; no I/O
app     the urwid program and its connection"""
