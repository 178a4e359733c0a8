/** Rows (guarantees) and columns (faults) of the proof matrix, by scenario tag. */

export const guarantees: Readonly<Record<string, string>> = {
    "@no-older-version": "No proxy ever moves back to an older configuration version",
    "@no-dangling-route": "No route on any proxy points at a resource that proxy lacks",
    "@no-partial-version": "A bad version is never applied in part",
    "@own-answer": "Each caller gets the whole answer to its own request",
    "@not-run-is-true": 'A request refused as "not run" really did not run',
    "@at-most-once": "An operation that may not be repeated runs at most once",
    "@leaving-gets-no-work": "A backend server that is leaving gets no new work after a few seconds",
    "@graceful-shutdown": "A graceful shutdown cuts no request in flight",
    "@in-force-everywhere":
        "An accepted configuration is in force everywhere within seconds and never reverts",
};

export const faults: Readonly<Record<string, string>> = {
    "@herd-death": "herd death",
    "@reconnect-storm": "reconnect storm",
    "@source-outage": "source outage",
    "@crossed-updates": "crossed updates",
    "@store-down": "store down",
    "@store-slow": "store slow",
    "@lost-answer": "answer lost after the write took effect",
    "@lapsed-lease": "lapsed lease of a paused holder",
    "@operator-race": "operators racing",
    "@silent-connection": "silent connection",
    "@domain-partition": "partition between domains",
    "@platform-partition": "partition from the platform",
    "@stale-read": "stale store read",
    "@two-faults": "two of these at once",
};

/** Text of cells without scenarios, by `<guarantee tag> <fault tag>`: why the cell needs no proof or has none. */
export const cellNotes: Readonly<Record<string, string>> = {};
