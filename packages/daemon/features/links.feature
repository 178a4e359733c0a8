Feature: Links between daemons

    # Guards against pairs of hosts that hold two links, or none, after both connected at once.
    Scenario: Two daemons that connect to each other at once keep one link
        Given linked daemons "a1" and "a2" that both know the other
        When both peer adapters have run until they are linked
        Then each peer adapter has exactly one connection, dialed by "a1"

    # Guards against an intruder or a misconfigured host joining the membership.
    Scenario: A wrong key is refused on both sides
        Given a peer adapter "a1" with keys "old" and a peer adapter "a2" with keys "wrong"
        When the two peer adapters have run for 1500 ms
        Then no peer link is open and an "unauthorized" refusal is noted

    # Guards against an outage while keys are rotated.
    Scenario: Two keys are valid during a rotation
        Given a peer adapter "a1" with keys "new,old" and a peer adapter "a2" with keys "old,new"
        When both peer adapters have run until they are linked
        Then each peer adapter has exactly one connection, dialed by "a1"

    # Guards against a proof that is sent back to its maker, or that another host replays.
    Scenario: A handshake proof holds only for its role, nonces and identities
        Given a handshake transcript of two hosts
        Then a proof of the transcript verifies for its own role only
        And a change of any nonce or identity voids the proof

    # Guards against a connection that is open but dead.
    Scenario: A silent link is replaced by a new one
        Given linked daemons "a1" and "a2" that both know the other
        When both peer adapters have run until they are linked
        And the peer link between them goes silent while new connections work
        Then the silent link is closed after 3 s and a new one is opened

    # Guards against a link that is replaced without end, because the seeds name one host by two addresses.
    Scenario: Seeds that name one host by two addresses do not disturb the link
        Given a peer adapter "a1" whose seeds name "a2" by two addresses
        When both peer adapters have run until they are linked
        And the two peer adapters have run for 8000 ms
        Then each peer adapter opened at most 1 links

    # Guards against a decoder that throws, or lets a wrong type through.
    Scenario: Malformed bytes never throw and never pass as a message
        When 4000 mutated peer messages are decoded with a fixed seed
        Then each decoding ended in a problem or in a message that encodes to the same type
        And every kind of peer message decodes to what was encoded

    # Guards against types, counts and lengths outside their bounds.
    Scenario: Messages outside their bounds are typed errors
        Then each of these peer messages is refused as malformed:
            | fault                  |
            | unknown kind           |
            | kind of the prototype  |
            | unknown field          |
            | missing field          |
            | negative version       |
            | text for a number      |
            | too many buckets       |
            | too long a name        |
            | text for bytes         |
            | deep nesting           |
            | huge declared length   |
            | truncated frame        |

    # Guards against a faulty daemon that floods another with garbage.
    Scenario: A link is closed after 3 malformed messages
        Given a peer adapter "a1" and a bare authenticated connection to it
        When the bare connection sends 2 malformed messages
        Then the bare connection stays open
        When the bare connection sends 1 malformed messages
        Then the bare connection is closed

    # Guards against a bound that is reached without anybody seeing it.
    Scenario: Bounds of the links show as events
        Given a peer adapter "a1" and a bare authenticated connection to it
        When 66 connections to the peer adapter send no hello for 2500 ms
        And the bare connection sends a message of 5 MiB
        Then the peer adapter noted "peer.connectionRefused, peer.handshakeTimeout, peer.refused"

    # Guards against memory that grows behind a peer that does not read.
    Scenario: A link to a peer that does not read is closed
        Given a peer adapter "a1" and a bare authenticated connection to it
        When the bare connection stops reading while 40 MiB are sent to it
        Then the peer adapter closed the slow link with at most 24 MiB sent

    # Guards against versions that reach hosts with narrow links seconds too late (CONFIG, KNOWN-RED 8).
    Scenario: The routes of a large version take at most a third of their size on a link
        Given linked daemons "a1" and "a2" that both know the other
        When both peer adapters have run until they are linked
        And "a1" sends 1200 routes to "a2"
        Then "a2" receives them unchanged, and at most a third of their bytes crossed the link

    # Guards against control traffic that nobody can account for.
    Scenario: Traffic is counted by kind and by whether it crosses regions
        Given daemons "a1" and "b1" of different regions that know each other
        When both peer adapters have run until they are linked
        And "a1" sends a digest to every peer
        Then the digest bytes out of "a1" equal those into "b1", as cross-region traffic

    # Guards against calls whose fate cannot be asked, because the host that got them is no neighbour.
    Scenario: A message of the call adapter opens a link to a host that is no neighbour
        Given a peer adapter "a1" that knows the address of "a2" from the membership only
        When the call adapter of "a1" asks "a2" for the fate of a call
        Then "a2" receives the fate request from "a1"
