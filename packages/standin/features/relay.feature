Feature: The relay cuts and silences connections

    # Guards against a silence that the far side can notice, or that also stops new connections.
    Scenario: An open connection turns silent while a new one works
        Given a relay stand-in in front of an echo server with an open connection
        When the relay stand-in silences its open connections
        Then the open relayed connection receives nothing within 100 ms and stays open
        And a new relayed connection receives its echo
        And the silenced connection receives its echo after the relay stand-in is restored

    # Guards against a silence of new connections that refuses them instead.
    Scenario: A new connection can be silent as well
        Given a relay stand-in in front of an echo server with an open connection
        When the relay stand-in silences new connections too
        Then a new relayed connection opens and receives nothing within 100 ms

    # Guards against a cut that ends connections cleanly, which a receiver takes for a complete response.
    Scenario: A cut resets open connections and refuses new ones
        Given a relay stand-in in front of an echo server with an open connection
        When the relay stand-in cuts
        Then the open relayed connection is reset
        And a new relayed connection is reset
        And a new relayed connection receives its echo after the relay stand-in is restored

    # Guards against lost or reordered bytes under delay, and wrong byte counters.
    Scenario: Delayed bytes arrive late, in order and counted
        Given a relay stand-in in front of an echo server with an open connection
        When the relay stand-in delays bytes by 40 ms and the connection sends 3 numbered chunks
        Then the echo of the 3 numbered chunks arrives in order after at least 80 ms
        And the relay stand-in counted the bytes of both directions

    # Guards against a reset that arrives as a clean end, which a receiver takes for the end of a body without a length.
    # The event loop reports a reset that comes together with data as an end, in the relay as in the receiver.
    Scenario: A reset right behind the last bytes is passed on as a reset
        Given a relay stand-in in front of a server that resets each connection 20 ms after 3000000 bytes
        When 60 connections through the relay stand-in read what they get
        Then each of these connections was reset
