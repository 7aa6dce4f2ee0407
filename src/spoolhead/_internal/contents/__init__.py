"""Detection and exchange of requests whose content crashes the instances that run them."""
