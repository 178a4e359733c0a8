Feature: The relay cuts and silences connections

    # Guards against a silence that the peer can detect, or that also affects new connections.
    Scenario: An open connection turns silent while a new one works
        Given a relay stand-in in front of an echo server with an open connection
        When the relay stand-in silences its open connections
        Then the open relayed connection receives nothing within 100 ms and stays open
        And a new relayed connection receives its echo
        And the silenced connection receives its echo after the relay stand-in is restored

    # Guards against new connections being refused instead of silenced.
    Scenario: A new connection can be silent as well
        Given a relay stand-in in front of an echo server with an open connection
        When the relay stand-in silences new connections too
        Then a new relayed connection opens and receives nothing within 100 ms

    # Guards against a cut that closes connections cleanly, which a receiver could take for the end of a complete response.
    Scenario: A cut resets open connections and refuses new ones
        Given a relay stand-in in front of an echo server with an open connection
        When the relay stand-in cuts
        Then the open relayed connection is reset
        And a new relayed connection is reset
        And a new relayed connection receives its echo after the relay stand-in is restored

    # Guards against bytes that are lost or reordered by the delay, and against wrong byte counters.
    Scenario: Delayed bytes arrive late, in order and counted
        Given a relay stand-in in front of an echo server with an open connection
        When the relay stand-in delays bytes by 40 ms and the connection sends 3 numbered chunks
        Then the echo of the 3 numbered chunks arrives in order after at least 80 ms
        And the relay stand-in counted the bytes of both directions

    # Guards against a reset that is forwarded as a clean close, which a receiver takes for the end of a body without a
    # length. Node reports a reset that arrives together with data as `end`, both in the relay and in the receiver.
    Scenario: A reset right behind the last bytes is passed on as a reset
        Given a relay stand-in in front of a server that resets each connection 20 ms after 3000000 bytes
        When 60 connections through the relay stand-in read what they get
        Then each of these connections was reset
