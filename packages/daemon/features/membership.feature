Feature: Daemons keep the membership over their links

    # Guards against a host that learns of others only while it starts.
    Scenario: A host learns of hosts that it is not linked to, and of their offers
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And a backend server of "stock" announces itself to "a3"
        Then "a1" learns that "a3" offers "stock" with 12 slots

    # Guards against calls to a host that was killed.
    Scenario: A killed host is suspected and considered failed
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And the membership daemon "a3" is killed
        Then "a1" and "a2" consider "a3" failed within 8 s

    # Guards against work sent to a host that shut down on purpose.
    Scenario: A host that shuts down says that it left
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And the membership daemon "a3" is asked to shut down
        Then "a1" and "a2" consider "a3" left within 1 s

    # Guards against a restarted host that is taken for late news of its former self.
    Scenario: A host with a clock that runs behind takes the next incarnation
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And "a2" hears of a later incarnation of "a1"
        Then "a1" takes the incarnation after it, and "a3" learns of it

    # Guards against a resumed host that takes its own pause for the silence of all others.
    Scenario: A host that was paused suspects nobody
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And the process of "a1" is paused for 20 s
        Then "a1" still has its links and suspects nobody during the next 2 s

    # Guards against relays that write the row of their domain without end, or race each other.
    Scenario: The row of a failure domain is written only when it changes
        Given a membership daemon "a1" without peers and a simulated platform
        When its platform has no row of the domain for 30 s of simulated time
        Then the row of the domain was written once, on the condition that it is missing
