@configuration
Feature: Every host receives an accepted configuration despite failures

    @no-older-version @no-dangling-route @no-partial-version @in-force-everywhere
    Scenario Outline: A change and a bad version during <fault>
        # Guards against a host that moves to a lower version, partially applies a bad one or stays behind after the fault.
        When the configuration changes during "<fault>" with each kind of spread and 2 seeds
        Then no host of the fleet ever moved to a lower version or held an incomplete one
        And every host of the fleet served each accepted version within 9 s after the fault

        @herd-death
        Examples:
            | fault      |
            | herd death |

        @reconnect-storm
        Examples:
            | fault           |
            | reconnect storm |

        @source-outage
        Examples:
            | fault         |
            | source outage |

        @crossed-updates
        Examples:
            | fault           |
            | crossed updates |

        @store-down
        Examples:
            | fault      |
            | store down |

        @store-slow
        Examples:
            | fault      |
            | store slow |

        @lost-answer
        Examples:
            | fault        |
            | lost answers |

        @lapsed-lease
        Examples:
            | fault                    |
            | a paused host            |
            | a paused operator command |

        @operator-race
        Examples:
            | fault            |
            | operators racing |

        @silent-connection
        Examples:
            | fault              |
            | silent connections |

        @domain-partition
        Examples:
            | fault                     |
            | partition between domains |

        @platform-partition
        Examples:
            | fault                       |
            | partition from the platform |

        @stale-read
        Examples:
            | fault       |
            | stale reads |

    @no-older-version @no-dangling-route @no-partial-version @in-force-everywhere @two-faults
    Scenario: A change and a bad version during every pair of faults
        # Guards against faults that are harmless alone and cause a failure together.
        When the configuration changes during every pair of faults
        Then no host of the fleet ever moved to a lower version or held an incomplete one
        And every host of the fleet served each accepted version within 9 s after the fault

    @no-older-version @no-dangling-route @no-partial-version @in-force-everywhere
    Scenario Outline: A <act> of the sender or receiver at the step <step>
        # Guards against a step of a change at which a crash, pause or partition of one side causes a failure.
        When the sender and then the receiver suffer a <act> at the step "<step>"
        Then no host of the fleet ever moved to a lower version or held an incomplete one
        And every host of the fleet served each accepted version within 9 s after the fault

        Examples:
            | step                   | act   |
            | submitted              | kill  |
            | submitted              | pause |
            | submitted              | cut   |
            | generated              | kill  |
            | generated              | pause |
            | generated              | cut   |
            | parts written          | kill  |
            | parts written          | pause |
            | parts written          | cut   |
            | head moved             | kill  |
            | head moved             | pause |
            | head moved             | cut   |
            | answer lost            | kill  |
            | answer lost            | pause |
            | answer lost            | cut   |
            | read by a domain       | kill  |
            | read by a domain       | pause |
            | read by a domain       | cut   |
            | update sent            | kill  |
            | update sent            | pause |
            | update sent            | cut   |
            | parts fetched          | kill  |
            | parts fetched          | pause |
            | parts fetched          | cut   |
            | configuration replaced | kill  |
            | configuration replaced | pause |
            | configuration replaced | cut   |
            | version reported       | kill  |
            | version reported       | pause |
            | version reported       | cut   |
