"""The terminal console: a process of its own, on the admin socket.

text    what may reach a terminal, and how wide it is
model   what the console knows, and what keys do; pure
views   model -> lines of styled text; pure
app     urwid, and the connection"""
