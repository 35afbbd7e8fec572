"""One gateway: `core` hosts the router and owns the requests, `fronts` serve clients, `serve` assembles the process."""
