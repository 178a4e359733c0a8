Feature: Links between daemons

    # Guards against two hosts that keep two links or none after both dialed at the same time.
    Scenario: Two daemons that dial each other at the same time keep one link
        Given linked daemons "a1" and "a2" that know each other's address
        When both peer adapters have run until they are linked
        Then each peer adapter has exactly one connection, dialed by "a1"

    # Guards against a host without a valid key joining the membership.
    Scenario: A wrong key is refused on both sides
        Given a peer adapter "a1" with keys "old" and a peer adapter "a2" with keys "wrong"
        When the two peer adapters have run for 1500 ms
        Then no peer link is open and an "unauthorized" refusal is reported as an event

    # Guards against links that are refused while keys are rotated.
    Scenario: Both keys are valid during a rotation
        Given a peer adapter "a1" with keys "new,old" and a peer adapter "a2" with keys "old,new"
        When both peer adapters have run until they are linked
        Then each peer adapter has exactly one connection, dialed by "a1"

    # Guards against a proof that is reflected to its sender or replayed by another host.
    Scenario: A handshake proof is valid only for its role, nonces and identities
        Given a handshake transcript of two hosts
        Then a proof of the transcript is valid only for its own role
        And a change of any nonce or identity invalidates the proof

    # Guards against a TCP connection that stays open but no longer carries data.
    Scenario: A silent link is replaced by a new one
        Given linked daemons "a1" and "a2" that know each other's address
        When both peer adapters have run until they are linked
        And the peer link between them stops carrying data while new connections work
        Then the silent link is closed after 3 s and a new one is opened

    # Guards against a link that is closed as silent while a message is on its way over it, as often as it is sent: a host on
    # a link that is full of calls never got the configuration.
    @in-force-everywhere
    Scenario: A link stays open while a message takes longer than 3 s to arrive
        Given linked daemons "a1" and "a2" that know each other's address
        When both peer adapters have run until they are linked
        And the peer link between them carries 10 KB each 100 ms from now on
        And "a1" sends a part of 600 KB to "a2"
        Then "a2" has received it within 8 s over the same link
        When the peer link between them carries nothing any more
        Then the link is closed after 3 s

    # Guards against links that replace each other endlessly because the seeds list one host under two addresses.
    Scenario: Seeds that list one host under two addresses do not replace its link
        Given a peer adapter "a1" whose seeds list "a2" under two addresses
        When both peer adapters have run until they are linked
        And the two peer adapters have run for 8000 ms
        Then each peer adapter opened at most 1 links

    # Guards against an attempt without an end: an address that connects and says nothing would never be dialed again.
    Scenario: An address that accepts connections and never answers is dialed again
        Given a peer adapter "a1" whose seed accepts connections and never answers
        When the peer adapter has run for 9000 ms
        Then the seed was dialed 2 to 4 times and the peer adapter reported the events "peer.handshakeTimeout"

    # Guards against a decoder that throws or accepts a value of the wrong type.
    Scenario: Decoding malformed bytes never throws and never returns an invalid message
        When 4000 mutated peer messages are decoded with a fixed seed
        Then each decoding returned a problem or a message that survives encoding and decoding
        And every kind of peer message decodes to the encoded message

    # Guards against a decoder that accepts wrong types, or counts and lengths above their limits.
    Scenario: Messages with wrong types or above their limits are refused with a problem code
        Then each of these peer messages is refused as malformed:
            | fault                  |
            | unknown kind           |
            | inherited key as kind  |
            | unknown field          |
            | missing field          |
            | negative version       |
            | string for a number    |
            | too many buckets       |
            | name too long          |
            | string for bytes       |
            | deep nesting           |
            | huge declared length   |
            | truncated frame        |

    # Guards against a faulty daemon that floods another with malformed messages.
    Scenario: A link is closed after 3 malformed messages
        Given a peer adapter "a1" and a raw authenticated connection to it
        When the raw connection sends 2 malformed messages
        Then the raw connection stays open
        When the raw connection sends 1 malformed messages
        Then the raw connection is closed

    # Guards against limits that are reached without any event.
    Scenario: Reaching a limit of the links is reported as an event
        Given a peer adapter "a1" and a raw authenticated connection to it
        When 66 connections to the peer adapter send no hello for 2500 ms
        And the raw connection sends a message of 5 MiB
        Then the peer adapter reported the events "peer.connectionRefused, peer.handshakeTimeout, peer.refused"

    # Guards against unsent bytes that fill the memory because a peer does not read.
    Scenario: A link to a peer that does not read is closed
        Given a peer adapter "a1" and a raw authenticated connection to it
        When the raw connection stops reading while 40 MiB are sent to it
        Then the peer adapter closed the slow link with at most 24 MiB sent

    # Guards against uncompressed messages, with which versions reached hosts on slow links seconds too late.
    Scenario: The routes of a large version are compressed to at most a third of their size on a link
        Given linked daemons "a1" and "a2" that know each other's address
        When both peer adapters have run until they are linked
        And "a1" sends 1200 routes to "a2"
        Then "a2" receives them unchanged, and the link carried at most a third of their bytes

    # Guards against control traffic that the counters miss or attribute to the wrong region.
    Scenario: Traffic is counted by kind and by whether it crosses regions
        Given daemons "a1" and "b1" of different regions that know each other's address
        When both peer adapters have run until they are linked
        And "a1" sends a digest to every peer
        Then the digest bytes out of "a1" equal those into "b1", as cross-region traffic

    # Guards against calls whose fate cannot be requested because the host that received them is not a neighbour.
    Scenario: A message of the call adapter opens a link to a host that is not a neighbour
        Given a peer adapter "a1" that knows the address of "a2" only from the membership
        When the call adapter of "a1" asks "a2" for the fate of a call
        Then "a2" receives the fate request from "a1"
