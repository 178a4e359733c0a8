Feature: Daemons exchange membership records over their links

    # Guards against a host that learns of other hosts only at its start.
    Scenario: A host learns of hosts that it is not linked to, and of their offers
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And a backend server of "stock" announces itself to "a3"
        Then "a1" learns that "a3" offers "stock" with 12 slots

    # Guards against calls that are sent to a killed host.
    Scenario: A killed host is suspected and considered failed
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And the membership daemon "a3" is killed
        Then "a1" and "a2" consider "a3" failed within 8 s

    # Guards against calls that are sent to a host after its shutdown.
    Scenario: A host that shuts down announces that it left
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And the membership daemon "a3" is asked to shut down
        Then "a1" and "a2" consider "a3" left within 1 s

    # Guards against a restarted host whose records are ignored as older than those of its previous incarnation.
    Scenario: A host whose clock runs behind takes the next incarnation
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And "a2" receives a record of a later incarnation of "a1"
        Then "a1" takes the next incarnation, and "a3" learns of it

    # Guards against a resumed host that mistakes its own pause for a failure of all other hosts.
    Scenario: A host that was paused suspects nobody
        Given three membership daemons "a1", "a2" and "a3" where "a1" knows only "a2" and "a3" only "a2"
        When the membership daemons have run until all know each other
        And the process of "a1" is paused for 20 s
        Then "a1" still has its links and suspects nobody during the next 2 s

    # Guards against relays that write the domain row repeatedly, or overwrite each other's changes.
    Scenario: The row of a failure domain is written only when it changes
        Given a membership daemon "a1" without peers and a simulated platform
        When 30 s of simulated time pass on a platform that starts without a domain row
        Then the domain row was written once, on condition that it does not exist
