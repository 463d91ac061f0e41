"""Decisions on who is served, who waits and who is refused when there is too little."""
